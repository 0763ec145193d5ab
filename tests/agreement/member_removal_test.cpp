#include "agreement/agreement.hpp"

#include <gtest/gtest.h>

namespace boragestand::agreement
{

namespace
{

using namespace std::chrono_literals;

constexpr time_point now{1h};
constexpr replica_id self{1};
constexpr removal_limits limits{10s, 3s, 4s, smallest_group_for(1)};
constexpr duration join_lifetime = limits.lost + limits.succession;

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

/// A group that grew from a number of members by one member at each of these
/// times before now.
member_joins joins_to(std::size_t members,
                      std::initializer_list<duration> times_ago)
{
    member_joins joins(join_lifetime);
    joins.observe(group_of(members), self, now - 1min);
    for (const auto ago : times_ago)
    {
        joins.observe(group_of(++members), self, now - ago);
    }
    return joins;
}

/// Identity of the member to remove, 0 if there is none.
std::uint64_t removed(const protocol::replica_group& group,
                      const std::vector<member_silence>& silent,
                      const member_joins& joins = member_joins(join_lifetime))
{
    const auto member = member_to_remove(group, silent, joins, limits, now);
    return member ? member->id.value : 0;
}

} // namespace

// Guards against members that are gone and still count for majorities.
TEST(member_to_remove, names_a_member_that_is_silent_for_too_long)
{
    EXPECT_EQ(removed(group_of(4), silences({10ms, 10s, 10ms})), 3U);
    EXPECT_EQ(removed(group_of(4), silences({10ms, 9s, 10ms})), 0U);
}

// Guards against a replaced member that counts for majorities for long.
TEST(member_to_remove, names_a_replaced_member_early)
{
    const auto five = silences({10ms, 3s, 10ms, 10ms});
    EXPECT_EQ(removed(group_of(5), five, joins_to(4, {2s})), 3U);
    EXPECT_EQ(removed(group_of(5), five, joins_to(4, {7s})), 3U)
        << "a planned successor joins before its predecessor stops";
    EXPECT_EQ(removed(group_of(5), five, joins_to(4, {8s})), 0U);
    EXPECT_EQ(removed(group_of(5), silences({10ms, 2s, 10ms, 10ms}),
                      joins_to(4, {1s})),
              0U);
}

// Guards against members that are lost at the same time and keep each other in
// the group for good.
TEST(member_to_remove, names_the_longest_silent_of_several)
{
    EXPECT_EQ(removed(group_of(6), silences({10ms, 9s, 11s, 10ms, 10ms})), 4U);
    EXPECT_EQ(removed(group_of(6), silences({10ms, 3s, 4s, 10ms, 10ms}),
                      joins_to(4, {6s, 1s})),
              4U);
    EXPECT_EQ(removed(group_of(4), silences({9s, 9s, 10ms})), 0U);
    EXPECT_EQ(removed(group_of(4), silences({2s, 9s, 10ms})), 0U);
}

// Guards against one successor in whose place two members are removed.
TEST(member_to_remove, counts_each_successor_once)
{
    auto joins = joins_to(4, {30s, 2s});
    auto group = group_of(6);
    const auto silent = silences({10ms, 4s, 5s, 10ms, 10ms});
    ASSERT_EQ(removed(group, silent, joins), 4U);
    std::erase_if(group.members, [](const protocol::replica& member)
                  { return member.id == replica_id{4}; });
    joins.observe(group, self, now);
    EXPECT_EQ(removed(group, silences({10ms, 4s}), joins), 0U);
}

// Guards against the removal of a member because another one returned with an
// empty disk under a new identity.
TEST(member_to_remove, takes_no_returned_instance_for_a_successor)
{
    auto joins = joins_to(4, {});
    auto group = group_of(4);
    group.members.back().id = replica_id{9};
    joins.observe(group, self, now - 2s);
    EXPECT_EQ(removed(group, silences({10ms, 4s, 10ms}), joins), 0U);
}

// Guards against a leader that does not know itself to be the successor.
TEST(member_to_remove, counts_the_leader_as_a_successor)
{
    auto group = group_of(5);
    group.members.front().admission_index = 17;
    member_joins joins(join_lifetime);
    joins.observe({}, self, now - 3s);
    joins.observe(group, self, now - 2s);
    EXPECT_EQ(removed(group, silences({10ms, 4s, 10ms, 10ms}), joins), 3U);
}

// Guards against a restart after which old members count as successors of one
// that is a little late.
TEST(member_to_remove, takes_no_known_member_for_a_successor)
{
    member_joins joins(join_lifetime);
    joins.observe(group_of(5), self, now - 2s);
    EXPECT_EQ(removed(group_of(5), silences({10ms, 4s, 10ms, 10ms}), joins),
              0U);
}

// Guards against a removal that would leave a group that cannot bear the next
// loss.
TEST(member_to_remove, keeps_the_smallest_group)
{
    EXPECT_EQ(removed(group_of(3), silences({1min, 10ms})), 0U);
    EXPECT_EQ(removed(group_of(3), silences({1min, 10ms}), joins_to(2, {2s})),
              0U)
        << "an instance that joins at the first start replaces nobody";
    EXPECT_EQ(removed(group_of(5), silences({1min, 1min, 10ms, 10ms})), 2U);
}

// Guards against a learner that is gone and blocks every further change, also
// when another member is silent.
TEST(member_to_remove, names_a_silent_learner)
{
    EXPECT_EQ(removed(group_of(3, 1), silences({1ms, 1ms, 9s})), 4U);
    EXPECT_EQ(removed(group_of(3, 1), silences({1min, 1ms, 9s})), 4U);
}

// Guards against changes that are refused because a learner is catching up.
TEST(member_to_remove, waits_for_a_learner)
{
    EXPECT_EQ(removed(group_of(4, 1), silences({1min, 1ms, 1ms, 1ms})), 0U);
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
