#pragma once

#include "transport/transport.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace boragestand::transport
{

/// Loopback endpoint whose port the kernel chooses.
inline const endpoint any_local_port{0x7f000001, 0};

/// Provides a main loop and runs it until a condition holds.
class loop_fixture : public testing::Test
{
protected:
    /// Runs the loop until the condition holds; fails after 60 seconds.
    void run_until(const std::function<bool()>& condition)
    {
        bool timed_out = false;
        const auto check = timers_.every(std::chrono::milliseconds(1),
                                         [&](time_point)
                                         {
                                             if (condition())
                                             {
                                                 loop_.quit();
                                             }
                                         });
        const auto timeout = timers_.after(std::chrono::seconds(60),
                                           [&](time_point)
                                           {
                                               timed_out = true;
                                               loop_.quit();
                                           });
        loop_.run();
        ASSERT_FALSE(timed_out);
    }

    main_loop loop_;
    timer_service timers_{loop_};
};

} // namespace boragestand::transport
