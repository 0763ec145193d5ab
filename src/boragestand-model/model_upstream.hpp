#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"

#include <deque>
#include <functional>

namespace boragestand::model
{

/// Simulated upstream. It serves requests in order of arrival, as many at once
/// as it has slots, and skips requests whose deadline has passed before they
/// start. After a cold start it is slower for some time.
class model_upstream
{
public:
    using request_callback = std::function<void(std::uint64_t request)>;

    model_upstream(event_queue& events, std::uint32_t slots);

    /// Multiplies service times by a factor that falls linearly to 1 within the
    /// given time.
    void start_cold(double factor, duration time);

    /// Sets the callbacks for the start and the completion of a request.
    void set_callbacks(request_callback started, request_callback answered);

    /// Queues a request and starts it if a slot is free.
    void arrive(std::uint64_t request, duration service_time,
                time_point deadline);

    /// Number of requests being served.
    std::uint32_t running() const { return running_; }

    /// Total service time of started requests, summed over the slots.
    duration busy() const { return busy_; }

private:
    struct waiting_request
    {
        std::uint64_t request{0};
        duration service_time;
        time_point deadline;
    };

    void start_next();
    duration scale_service_time(duration service_time) const;

    event_queue& events_;
    std::uint32_t slots_;
    double cold_factor_{1.0};
    duration cold_time_{0};
    time_point cold_since_;
    std::uint32_t running_{0};
    duration busy_{0};
    std::deque<waiting_request> waiting_;
    request_callback started_;
    request_callback answered_;
};

} // namespace boragestand::model
