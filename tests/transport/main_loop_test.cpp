#include "loop_fixture.hpp"

#include <csignal>

namespace boragestand::transport
{

using namespace std::chrono_literals;

// Guards against a parser that accepts a text with a valid prefix.
TEST(endpoint, parses_only_whole_endpoints)
{
    const auto parsed = parse_endpoint("127.1.0.1:6081");
    ASSERT_TRUE(parsed);
    EXPECT_EQ(*parsed, (endpoint{0x7f010001, 6081}));
    EXPECT_EQ(to_string(*parsed), "127.1.0.1:6081");
    EXPECT_EQ(from_sockaddr(to_sockaddr(*parsed)), *parsed);
    for (const char* text :
         {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0:1", "127.0.0.1:65536",
          "127.0.0.1:+1", "127.0.0.1:1 ", " 127.0.0.1:1", "127.0.0.256:1",
          "127.0.0.1:1:2", "host:1"})
    {
        const auto rejected = parse_endpoint(text);
        ASSERT_FALSE(rejected) << text;
        EXPECT_EQ(rejected.error().kind, error_kind::invalid_argument);
    }
}

// Guards against callbacks that run after their subscription was cancelled,
// including cancellation inside the callback.
TEST_F(loop_fixture, ends_subscriptions_from_inside_their_callback)
{
    int ticks = 0;
    subscription ticking = timers_.every(1ms,
                                         [&](time_point)
                                         {
                                             ++ticks;
                                             ticking.cancel();
                                         });
    bool cancelled_ran = false;
    auto cancelled =
        timers_.after(1ms, [&](time_point) { cancelled_ran = true; });
    cancelled.cancel();
    bool later = false;
    const auto end = timers_.after(30ms, [&](time_point) { later = true; });
    run_until([&] { return later; });
    EXPECT_EQ(ticks, 1);
    EXPECT_FALSE(cancelled_ran);
}

// Guards against posted callbacks that run before post() returns or are lost.
TEST_F(loop_fixture, runs_posted_work_and_signals_on_the_loop)
{
    std::vector<int> order;
    loop_.post(
        [&]
        {
            order.push_back(1);
            loop_.post([&] { order.push_back(3); });
            order.push_back(2);
        });
    EXPECT_TRUE(order.empty());
    int signals = 0;
    const auto subscribed = loop_.on_signal(SIGUSR1, [&] { signals += 1; });
    std::raise(SIGUSR1);
    run_until([&] { return order.size() == 3 && signals == 1; });
    EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

} // namespace boragestand::transport
