#include "fleet/log_limits.hpp"

#include <gtest/gtest.h>

namespace boragestand::fleet
{

// Guards against bounds that do not fit the machine, and against settings
// without limits that switch the bounds off.
TEST(log_limits, follow_the_scarcer_of_memory_and_disk)
{
    constexpr std::uint64_t mebibyte = 1024 * 1024;
    const log_limits usual{8 * mebibyte, mebibyte, 8 * mebibyte};
    EXPECT_EQ(log_limits_for(256, 128), usual);
    EXPECT_EQ(log_limits_for(0, 0), usual);
    EXPECT_EQ(log_limits_for(1024, 128), usual);
    EXPECT_EQ(log_limits_for(64, 128).snapshot_interval, 2 * mebibyte);
    EXPECT_EQ(log_limits_for(256, 32).snapshot_interval, 2 * mebibyte);
    EXPECT_EQ(log_limits_for(8, 8).snapshot_interval, mebibyte);
    EXPECT_EQ(log_limits_for(1e6, 1e6).snapshot_interval, 64 * mebibyte);
}

} // namespace boragestand::fleet
