#pragma once

#include "base/base.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace boragestand::model
{

/// Queue of a discrete-event simulation. Actions run in order of their
/// simulated time; actions of the same time run in the order in which they were
/// added.
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const { return now_; }

    /// Schedules an action after a delay.
    void schedule_after(duration delay, action run);

    /// Runs an action now and then once per interval.
    void schedule_every(duration interval, action run);

    /// Runs all actions due up to and including this time and advances to it.
    void run_until(time_point end);

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence{0};
        action run;
    };

    struct runs_later
    {
        bool operator()(const event& left, const event& right) const;
    };

    time_point now_{};
    std::uint64_t sequence_{0};
    std::priority_queue<event, std::vector<event>, runs_later> events_;
};

} // namespace boragestand::model
