#include "event_queue.hpp"

#include <tuple>
#include <utility>

namespace boragestand::model
{

void event_queue::schedule_after(duration delay, action run)
{
    events_.push({now_ + delay, ++sequence_, std::move(run)});
}

void event_queue::schedule_every(duration interval, action run)
{
    run();
    schedule_after(interval, [this, interval, run = std::move(run)]() mutable
                   { schedule_every(interval, std::move(run)); });
}

void event_queue::run_until(time_point end)
{
    while (!events_.empty() && events_.top().at <= end)
    {
        // top() returns a const reference. Moving the action out is safe,
        // because the order does not depend on it and the element is popped
        // next.
        action run = std::move(const_cast<event&>(events_.top()).run);
        now_ = events_.top().at;
        events_.pop();
        run();
    }
    now_ = end;
}

bool event_queue::runs_later::operator()(const event& left,
                                         const event& right) const
{
    return std::tie(left.at, left.sequence) >
           std::tie(right.at, right.sequence);
}

} // namespace boragestand::model
