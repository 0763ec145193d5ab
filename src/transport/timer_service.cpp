#include "transport/timer_service.hpp"

#include <ctime>

#include <utility>

namespace boragestand::transport
{

timer_service::timer_service(main_loop& loop) : loop_(loop) {}

time_point timer_service::now() const
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
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
