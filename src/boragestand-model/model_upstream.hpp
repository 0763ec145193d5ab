#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"

#include <deque>
#include <functional>

namespace boragestand::model
{

/// A served system: runs as many requests at once as it has slots, in the order
/// of their arrival. It skips requests whose deadline has passed before their
/// turn. While it is cold it is slower.
class model_upstream
{
public:
    using notice = std::function<void(std::uint64_t request)>;

    model_upstream(event_queue& events, std::uint32_t slots);

    /// Makes the upstream cold: service times are this factor longer, falling
    /// to their normal value within the time.
    void chill(double factor, duration time);

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
    double cold_factor_{1.0};
    duration cold_time_{0};
    time_point cold_since_;
    std::uint32_t running_{0};
    duration busy_{0};
    std::deque<waiting_request> waiting_;
    notice started_;
    notice answered_;
};

} // namespace boragestand::model
