#pragma once

#include "base/base.hpp"
#include "transport/main_loop.hpp"

#include <functional>

namespace boragestand::transport
{

/// The one source of time of a process. Parts subscribe to it.
class timer_service
{
public:
    explicit timer_service(main_loop& loop);

    /// Monotonic time since an arbitrary start.
    time_point now() const;

    /// Wall-clock time.
    wall_time wall_now() const;

    /// Calls back every interval, first after one interval. Turns that were
    /// missed while the loop was busy are not made up for.
    subscription every(duration interval,
                       std::function<void(time_point)> callback);

    /// Calls back once after the delay.
    subscription after(duration delay,
                       std::function<void(time_point)> callback);

private:
    main_loop& loop_;
};

} // namespace boragestand::transport
