#include "model_upstream.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::model
{

model_upstream::model_upstream(event_queue& events, std::uint32_t slots)
    : events_(events), slots_(slots)
{
}

void model_upstream::start_cold(double factor, duration time)
{
    cold_factor_ = factor;
    cold_time_ = time;
    cold_since_ = events_.now();
}

void model_upstream::set_callbacks(request_callback started,
                                   request_callback answered)
{
    started_ = std::move(started);
    answered_ = std::move(answered);
}

void model_upstream::arrive(std::uint64_t request, duration service_time,
                            time_point deadline)
{
    waiting_.push_back({request, service_time, deadline});
    start_next();
}

void model_upstream::start_next()
{
    while (running_ < slots_ && !waiting_.empty())
    {
        const waiting_request next = waiting_.front();
        waiting_.pop_front();
        if (next.deadline < events_.now())
        {
            continue;
        }
        ++running_;
        const duration taken = scale_service_time(next.service_time);
        busy_ += taken;
        started_(next.request);
        events_.schedule_after(taken,
                               [this, request = next.request]
                               {
                                   --running_;
                                   answered_(request);
                                   start_next();
                               });
    }
}

duration model_upstream::scale_service_time(duration service_time) const
{
    const duration age = events_.now() - cold_since_;
    if (age >= cold_time_)
    {
        return service_time;
    }
    const double left = 1.0 - std::chrono::duration<double>(age) /
                                  std::chrono::duration<double>(cold_time_);
    const double factor = 1.0 + (cold_factor_ - 1.0) * left;
    return std::chrono::duration_cast<duration>(service_time * factor);
}

} // namespace boragestand::model
