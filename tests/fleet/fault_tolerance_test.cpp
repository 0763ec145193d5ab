#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

namespace boragestand::fleet
{

// Guards against a group that shrinks until it cannot bear the losses that its
// deployment must bear.
TEST(fault_tolerance, follows_the_larger_of_instances_and_data_centres)
{
    EXPECT_EQ(tolerated_losses({2, 1, 5}, 5), 2U);
    EXPECT_EQ(tolerated_losses({2, 1, 4}, 8), 2U);
    EXPECT_EQ(tolerated_losses({1, 1, 3}, 6), 2U) << "two in a data centre";
    EXPECT_EQ(tolerated_losses({1, 1, 4}, 4), 1U);
    EXPECT_EQ(tolerated_losses({1, std::nullopt, 3}, 6), 1U);
}

// Guards against a group that keeps lost members for a tolerance that no
// majority allows.
TEST(fault_tolerance, asks_for_no_more_than_a_majority_allows)
{
    EXPECT_EQ(tolerated_losses({2, std::nullopt, 0}, 4), 1U);
    EXPECT_EQ(tolerated_losses({1, 1, 2}, 5), 1U) << "half of the instances";
    EXPECT_EQ(tolerated_losses({0, 0, 4}, 5), 0U);
    EXPECT_EQ(tolerated_losses({1, 1, 4}, 0), 0U);
}

// Guards against a group of unknown purpose that gives up tolerance.
TEST(fault_tolerance, is_what_the_size_allows_if_not_known)
{
    EXPECT_EQ(tolerated_losses({std::nullopt, std::nullopt, 4}, 5), 2U);
    EXPECT_EQ(tolerated_losses({std::nullopt, std::nullopt, 4}, 4), 1U);
}

} // namespace boragestand::fleet
