#include "agreement/agreement.hpp"

#include <gtest/gtest.h>

namespace boragestand::agreement
{

namespace
{

using namespace std::chrono_literals;

protocol::replica_group group_of(std::size_t voters, std::size_t learners = 0)
{
    protocol::replica_group group;
    for (std::size_t i = 1; i <= voters + learners; ++i)
    {
        group.members.push_back({replica_id{i}, {}, i <= voters, 0});
    }
    return group;
}

/// Silences of members 2, 3 and so on; member 1 leads.
std::vector<member_silence> silences(std::initializer_list<duration> times)
{
    std::vector<member_silence> all;
    std::uint64_t id = 2;
    for (const auto time : times)
    {
        all.push_back({replica_id{id++}, time});
    }
    return all;
}

} // namespace

// Guards against members that are gone and still count for majorities.
TEST(member_to_remove, names_a_member_that_is_silent_for_too_long)
{
    const auto silent =
        member_to_remove(group_of(4), silences({10ms, 5s, 10ms}), 3s);
    ASSERT_TRUE(silent);
    EXPECT_EQ(silent->id, replica_id{3});
}

// Guards against the removal of members that may come back, or whose removal
// would leave a group that cannot bear the next loss.
TEST(member_to_remove, keeps_members_in_doubt)
{
    EXPECT_FALSE(member_to_remove(group_of(4), silences({10ms, 2s, 10ms}), 3s));
    EXPECT_FALSE(member_to_remove(group_of(4), silences({9s, 9s, 10ms}), 3s));
    EXPECT_FALSE(member_to_remove(group_of(4), silences({2s, 9s, 10ms}), 3s));
    EXPECT_FALSE(member_to_remove(group_of(3), silences({9s, 10ms}), 3s));
    EXPECT_FALSE(
        member_to_remove(group_of(4, 1), silences({9s, 1ms, 1ms, 1ms}), 3s));
}

// Guards against a learner that is gone and blocks every further change.
TEST(member_to_remove, names_a_silent_learner)
{
    const auto silent =
        member_to_remove(group_of(3, 1), silences({1ms, 1ms, 9s}), 3s);
    ASSERT_TRUE(silent);
    EXPECT_EQ(silent->id, replica_id{4});
}

// Guards against a group that waits for a full election timeout although all of
// its members have just started.
TEST(first_election, comes_early_only_until_a_leader_was_heard)
{
    agreement_start start;
    start.hard.self = replica_id{1};
    protocol::agreement_snapshot snapshot;
    snapshot.group = group_of(1);
    start.snapshot = snapshot;
    agreement_settings settings;
    settings.first_election_timeout = 100ms;
    agreement_node node(start, settings);
    const time_point begin{1h};
    node.step({begin, clock_tick{}});
    node.step({begin + 250ms, clock_tick{}});
    EXPECT_EQ(node.role(), agreement_role::leader);
}

} // namespace boragestand::agreement
