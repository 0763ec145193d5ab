#include "fleet/fleet_times.hpp"
#include "fleet/save_schedule.hpp"

#include <gtest/gtest.h>

namespace boragestand::fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr time_point start{1h};

save_schedule saved_at_start()
{
    save_schedule saves;
    saves.record({5, 2, 1}, true, 1ms, start);
    return saves;
}

} // namespace

// Guards against a disk that is written without news.
TEST(save_schedule, saves_only_changes)
{
    const auto saves = saved_at_start();
    EXPECT_FALSE(saves.is_due({5, 2, 1}, start + 1h));
    EXPECT_TRUE(save_schedule().is_due({1, 0, 0}, start));
}

// Guards against a leave or a plan that is not on disk when all instances are
// killed.
TEST(save_schedule, saves_leaves_and_plans_before_heartbeats)
{
    const auto saves = saved_at_start();
    EXPECT_FALSE(saves.is_due({6, 2, 1}, start + 2s));
    EXPECT_TRUE(saves.is_due({6, 2, 1}, start + registry_save_interval));
    EXPECT_TRUE(saves.is_due({6, 2, 2}, start + plan_save_interval));
    EXPECT_TRUE(saves.is_due({6, 6, 1}, start + leave_save_interval));
}

// Guards against a save that failed on a full disk and is never repeated.
TEST(save_schedule, repeats_a_save_that_failed)
{
    auto saves = saved_at_start();
    saves.record({6, 6, 2}, false, 1ms, start + 5s);
    EXPECT_FALSE(saves.is_due({6, 6, 2}, start + 5s + leave_save_interval));
    EXPECT_TRUE(saves.is_due({6, 6, 2}, start + 5s + plan_save_interval));
    saves.record({6, 6, 2}, true, 1ms, start + 6s);
    EXPECT_FALSE(saves.is_due({6, 6, 2}, start + 1min));
}

// Guards against a slow disk that stops the process most of the time.
TEST(save_schedule, saves_less_often_on_a_slow_disk)
{
    auto saves = saved_at_start();
    saves.record({6, 6, 1}, true, 140ms, start + 5s);
    EXPECT_FALSE(saves.is_due({7, 7, 1}, start + 7s));
    EXPECT_TRUE(saves.is_due({7, 7, 1}, start + 8s));
    saves.record({7, 7, 1}, true, 1min, start + 1min);
    EXPECT_TRUE(saves.is_due({8, 8, 1}, start + 1min + 10s));
}

} // namespace boragestand::fleet
