#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"

#include <deque>
#include <functional>

namespace boragestand::model
{

/// A served system: runs as many requests at once as it has slots, in the order
/// of their arrival. It skips requests whose deadline has passed before their
/// turn. Right after its start it is slower.
class model_upstream
{
public:
    using notice = std::function<void(std::uint64_t request)>;

    /// cold_factor multiplies service times at the start and falls to 1 within
    /// cold_time.
    model_upstream(event_queue& events, std::uint32_t slots,
                   double cold_factor = 1.0, duration cold_time = duration(0));

    /// Sets what is called when a request starts and when it is answered.
    void on_progress(notice started, notice answered);

    /// A request arrives.
    void arrive(std::uint64_t request, duration service_time,
                time_point deadline);

    /// Requests that run now.
    std::uint32_t running() const { return running_; }

    /// Total time for which slots were taken.
    duration busy() const { return busy_; }

private:
    struct waiting_request
    {
        std::uint64_t request{0};
        duration service_time;
        time_point deadline;
    };

    void start_next();
    duration slowed(duration service_time) const;

    event_queue& events_;
    std::uint32_t slots_;
    double cold_factor_;
    duration cold_time_;
    time_point created_;
    std::uint32_t running_{0};
    duration busy_{0};
    std::deque<waiting_request> waiting_;
    notice started_;
    notice answered_;
};

} // namespace boragestand::model
