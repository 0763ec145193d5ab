#pragma once

#include "transport/transport.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace boragestand::transport
{

/// Endpoint on the loopback network; the kernel chooses the port.
inline const endpoint any_local_port{0x7f000001, 0};

/// A loop with helpers to run it until something has happened.
class loop_fixture : public testing::Test
{
protected:
    /// Runs the loop until the condition holds; fails after a generous time.
    void run_until(const std::function<bool()>& condition)
    {
        bool late = false;
        const auto check = timers_.every(std::chrono::milliseconds(1),
                                         [&](time_point)
                                         {
                                             if (condition())
                                             {
                                                 loop_.quit();
                                             }
                                         });
        const auto guard = timers_.after(std::chrono::seconds(60),
                                         [&](time_point)
                                         {
                                             late = true;
                                             loop_.quit();
                                         });
        loop_.run();
        ASSERT_FALSE(late);
    }

    main_loop loop_;
    timer_service timers_{loop_};
};

} // namespace boragestand::transport
