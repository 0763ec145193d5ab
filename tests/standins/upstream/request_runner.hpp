#pragma once

#include "program.hpp"
#include "request.hpp"
#include "run_log.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boragestand::standins
{

/// Capacity of an upstream and its slowdown after the start.
struct runner_settings
{
    std::size_t slots{2};
    std::size_t shed_queue{
        10000};            ///< limit of waiting requests; others are shed
    duration cold_time{0}; ///< time after the start with slower work
    double cold_factor{1}; ///< factor on work_ms while cold
    std::shared_ptr<run_log> log;
};

/// Request counters of one upstream.
struct runner_counters
{
    std::uint64_t requests{0};
    std::uint64_t completed{0};
    std::uint64_t cancelled{0};
    std::uint64_t shed{0};
    std::uint64_t expired{0};
};

/// Runs requests in a limited number of slots; others wait in FIFO order.
class request_runner
{
public:
    /// Receives the share of the work that is done, 0 to 1.
    using progress_callback = std::function<void(double)>;
    using end_callback = std::function<void(outcome)>;

    request_runner(program& host, const runner_settings& settings,
                   std::string name);

    /// Queues a request and returns its id for cancel(). The end callback runs
    /// once unless the request is cancelled; it may run inside this call.
    std::uint64_t submit(const request& requested,
                         progress_callback on_progress, end_callback on_end);

    /// Removes a waiting request or stops a running one, without its end
    /// callback.
    void cancel(std::uint64_t run_id);

    std::size_t running() const { return running_.size(); }
    const runner_counters& counters() const { return counters_; }

private:
    struct task
    {
        request requested;
        time_point arrival;
        time_point start;
        duration work{0};
        progress_callback on_progress;
        end_callback on_end;
        transport::subscription progress_timer;
        transport::subscription end_timer;
    };

    void start_waiting_requests();
    void start(std::uint64_t run_id, task next);
    void finish(std::uint64_t run_id);
    bool has_expired(const task& candidate) const;

    program& host_;
    runner_settings settings_;
    std::string name_;
    time_point started_;
    std::uint64_t next_run_id_{1};
    std::deque<std::pair<std::uint64_t, task>> waiting_;
    std::map<std::uint64_t, task> running_;
    runner_counters counters_;
};

} // namespace boragestand::standins
