#include "transport/timer_service.hpp"

#include <glib.h>

#include <utility>

namespace boragestand::transport
{

timer_service::timer_service(main_loop& loop) : loop_(loop) {}

time_point timer_service::now() const
{
    return time_point(duration(g_get_monotonic_time()));
}

wall_time timer_service::wall_now() const
{
    return std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

subscription timer_service::every(duration interval,
                                  std::function<void(time_point)> callback)
{
    return loop_.schedule(interval, true,
                          [this, callback = std::move(callback)]
                          { callback(now()); });
}

subscription timer_service::after(duration delay,
                                  std::function<void(time_point)> callback)
{
    return loop_.schedule(delay, false,
                          [this, callback = std::move(callback)]
                          { callback(now()); });
}

} // namespace boragestand::transport
