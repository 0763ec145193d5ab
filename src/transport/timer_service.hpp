#pragma once

#include "base/base.hpp"
#include "transport/main_loop.hpp"

#include <functional>

namespace boragestand::transport
{

/// The clock and timers of a process.
class timer_service
{
public:
    explicit timer_service(main_loop& loop);

    /// Monotonic time since an arbitrary start. Counts time in which the
    /// machine was suspended, so that what expires does so after a pause, too.
    time_point now() const;

    /// Wall-clock time.
    wall_time wall_now() const;

    /// Calls back periodically, first after one interval. Intervals missed
    /// while the loop was busy are skipped.
    subscription every(duration interval,
                       std::function<void(time_point)> callback);

    /// Calls back once after the delay.
    subscription after(duration delay,
                       std::function<void(time_point)> callback);

private:
    main_loop& loop_;
};

} // namespace boragestand::transport
