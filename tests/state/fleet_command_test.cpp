#include "state/state.hpp"

#include <gtest/gtest.h>

namespace boragestand::state
{

namespace
{

submitted_plan make_plan(std::uint64_t version)
{
    submitted_plan value;
    value.plan.version = version;
    value.document = "document " + std::to_string(version);
    return value;
}

} // namespace

// Guards against orders that are read back as something else.
TEST(fleet_command, is_read_back)
{
    const fleet_command plan = make_plan(7);
    const fleet_command order = evacuation_order{"north", false};
    EXPECT_EQ(decode_fleet_command(encode_command(plan)), plan);
    EXPECT_EQ(decode_fleet_command(encode_command(order)), order);
}

// Guards against a log and a snapshot of a version without evacuations that
// cannot be read any more.
TEST(fleet_command, reads_plans_of_the_version_before)
{
    const auto plan = make_plan(7);
    EXPECT_EQ(decode_fleet_command(encode_plan(plan)), fleet_command(plan));
    EXPECT_EQ(decode_fleet_state(encode_plan(plan)), (fleet_state{plan, {}}));
}

// Guards against evacuations that a snapshot loses.
TEST(fleet_command, keeps_evacuations_in_a_snapshot)
{
    evacuation_register evacuations;
    evacuations.apply({"north", true}, 5);
    evacuations.apply({"south", true}, 6);
    evacuations.apply({"south", false}, 9);
    const auto plan = make_plan(7);
    EXPECT_EQ(decode_fleet_state(encode_fleet_state(plan, evacuations)),
              (fleet_state{plan, evacuations}));
}

// Guards against damaged commands that stop the process by an exception.
TEST(fleet_command, refuses_what_it_cannot_read)
{
    auto order = encode_command(evacuation_order{"north", true});
    order.pop_back();
    EXPECT_FALSE(decode_fleet_command(order));
    EXPECT_FALSE(decode_fleet_command("\xc1"
                                      "e"));
    EXPECT_FALSE(decode_fleet_command(""));
    EXPECT_FALSE(decode_fleet_state("\xc1s\x91"));
}

// Guards against a resent order that changes the index, which would make all
// instances take it for a new one, and against an end of what never began.
TEST(evacuation_register, ignores_orders_without_effect)
{
    evacuation_register evacuations;
    EXPECT_FALSE(evacuations.apply({"north", false}, 3));
    EXPECT_TRUE(evacuations.apply({"north", true}, 4));
    EXPECT_FALSE(evacuations.apply({"north", true}, 5));
    EXPECT_EQ(evacuations.newest_index(), 4U);
    EXPECT_TRUE(evacuations.apply({"north", false}, 6));
    EXPECT_EQ(evacuations.entries().at("north"), (evacuation{false, 6}));
}

} // namespace boragestand::state
