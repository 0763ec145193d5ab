#include "loop_fixture.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace boragestand::transport
{

namespace
{

using namespace std::chrono_literals;

} // namespace

class background_worker_test : public loop_fixture
{
};

// Guards against results that are delivered on another thread than the loop's,
// or out of order.
TEST_F(background_worker_test, delivers_results_on_the_loop_in_order)
{
    background_worker worker(loop_);
    const auto loop_thread = std::this_thread::get_id();
    std::vector<int> delivered;
    for (int number = 0; number < 20; ++number)
    {
        worker.run(
            [number, loop_thread]
            {
                EXPECT_NE(std::this_thread::get_id(), loop_thread);
                return number;
            },
            [&, loop_thread](int result)
            {
                EXPECT_EQ(std::this_thread::get_id(), loop_thread);
                delivered.push_back(result);
            });
    }
    EXPECT_EQ(worker.pending(), 20U);
    run_until([&] { return delivered.size() == 20; });
    EXPECT_TRUE(std::is_sorted(delivered.begin(), delivered.end()));
    EXPECT_EQ(worker.pending(), 0U);
}

// Guards against a loop that waits for long work.
TEST_F(background_worker_test, lets_the_loop_run_during_work)
{
    background_worker worker(loop_);
    std::atomic<bool> may_end{false};
    bool done = false;
    worker.run(
        [&may_end]
        {
            may_end.wait(false);
            return 0;
        },
        [&done](int) { done = true; });
    int turns = 0;
    const auto ticks = timers_.every(1ms, [&turns](time_point) { ++turns; });
    run_until([&] { return turns > 5; });
    EXPECT_FALSE(done);
    may_end = true;
    may_end.notify_one();
    run_until([&] { return done; });
}

// Guards against callbacks into an owner that is gone.
TEST_F(background_worker_test, calls_nothing_after_its_destruction)
{
    bool called = false;
    {
        background_worker worker(loop_);
        for (int number = 0; number < 3; ++number)
        {
            worker.run(
                []
                {
                    std::this_thread::sleep_for(5ms);
                    return 0;
                },
                [&called](int) { called = true; });
        }
    }
    bool waited = false;
    const auto timer = timers_.after(30ms, [&](time_point) { waited = true; });
    run_until([&] { return waited; });
    EXPECT_FALSE(called);
}

} // namespace boragestand::transport
