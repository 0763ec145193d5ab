#pragma once

#include "base/base.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace boragestand::model
{

/// Simulated time: actions run in the order of their time, those of the same
/// time in the order in which they were added.
class event_queue
{
public:
    using action = std::function<void()>;

    /// The simulated time.
    time_point now() const { return now_; }

    /// Runs the action after a delay.
    void after(duration delay, action run);

    /// Runs the action now and then once every interval.
    void every(duration interval, action run);

    /// Runs all actions up to and including this time.
    void run_until(time_point end);

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence{0};
        action run;
    };

    struct later
    {
        bool operator()(const event& left, const event& right) const;
    };

    time_point now_{};
    std::uint64_t sequence_{0};
    std::priority_queue<event, std::vector<event>, later> events_;
};

} // namespace boragestand::model
