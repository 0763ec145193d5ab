#pragma once

#include "program.hpp"
#include "request.hpp"
#include "run_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boragestand::standins
{

/// How an upstream runs requests.
struct runner_settings
{
    std::size_t slots{2};
    std::size_t shed_queue{10000}; ///< more waiting requests are shed
    duration cold_time{0};         ///< after the start
    double cold_factor{1};         ///< work takes longer while cold
    std::shared_ptr<run_ledger> ledger;
};

/// Counters of one upstream's requests.
struct runner_counters
{
    std::uint64_t requests{0};
    std::uint64_t completed{0};
    std::uint64_t cancelled{0};
    std::uint64_t shed{0};
    std::uint64_t expired{0};
};

/// Runs requests in a few slots, the others wait in order.
class request_runner
{
public:
    /// Called with the share of the work that is done, 0 to 1.
    using progress_callback = std::function<void(double)>;
    using end_callback = std::function<void(outcome)>;

    request_runner(program& host, const runner_settings& settings,
                   std::string name);

    /// Runs a request now or later and returns a ticket for cancel(). The end
    /// callback runs once unless the request is cancelled.
    std::uint64_t submit(const request& wanted, progress_callback on_progress,
                         end_callback on_end);

    /// The caller has gone: a waiting request is not run, a running one stops.
    void cancel(std::uint64_t ticket);

    std::size_t running() const { return running_.size(); }
    const runner_counters& counters() const { return counters_; }

private:
    struct task
    {
        request wanted;
        time_point arrival;
        time_point start;
        duration work{0};
        progress_callback on_progress;
        end_callback on_end;
        transport::subscription progress_timer;
        transport::subscription end_timer;
    };

    void start_waiting();
    void start(std::uint64_t ticket, task next);
    void finish(std::uint64_t ticket);
    bool has_expired(const task& candidate) const;

    program& host_;
    runner_settings settings_;
    std::string name_;
    time_point opened_;
    std::uint64_t next_ticket_{1};
    std::deque<std::pair<std::uint64_t, task>> waiting_;
    std::map<std::uint64_t, task> running_;
    runner_counters counters_;
};

} // namespace boragestand::standins
