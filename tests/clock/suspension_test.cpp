#include "transport/transport.hpp"

#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

namespace
{

// Seconds that the machine was suspended.
time_t suspended_for = 0;

} // namespace

// Replaces the C library's function in this program. The monotonic clock stands
// still while a machine is suspended; the others go on.
extern "C" int clock_gettime(clockid_t clock, timespec* time)
{
    const auto outcome = ::syscall(SYS_clock_gettime, clock, time);
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)
    {
        time->tv_sec += suspended_for;
    }
    return static_cast<int>(outcome);
}

namespace boragestand::transport
{

// Guards against a process that uses a lease or a confirmation after it has run
// out, because its machine was suspended meanwhile.
TEST(timer_service, counts_the_time_of_a_suspension)
{
    main_loop loop;
    const timer_service timers(loop);
    const auto before = timers.now();
    suspended_for = 10;
    EXPECT_GE(timers.now() - before, std::chrono::seconds(10));
    EXPECT_LT(timers.now() - before, std::chrono::seconds(20));
}

} // namespace boragestand::transport
