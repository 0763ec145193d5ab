#include "event_queue.hpp"

#include <tuple>
#include <utility>

namespace boragestand::model
{

void event_queue::after(duration delay, action run)
{
    events_.push({now_ + delay, ++sequence_, std::move(run)});
}

void event_queue::every(duration interval, action run)
{
    run();
    after(interval, [this, interval, run = std::move(run)]() mutable
          { every(interval, std::move(run)); });
}

void event_queue::run_until(time_point end)
{
    while (!events_.empty() && events_.top().at <= end)
    {
        // The queue gives access to constant elements only; the element is
        // removed right after its action has been moved out.
        action run = std::move(const_cast<event&>(events_.top()).run);
        now_ = events_.top().at;
        events_.pop();
        run();
    }
    now_ = end;
}

bool event_queue::later::operator()(const event& left, const event& right) const
{
    return std::tie(left.at, left.sequence) >
           std::tie(right.at, right.sequence);
}

} // namespace boragestand::model
