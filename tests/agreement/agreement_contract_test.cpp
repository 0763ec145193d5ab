#include "simulated_group.hpp"

#include <gtest/gtest.h>

namespace boragestand::testing
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

agreement::agreement_settings small_settings()
{
    agreement::agreement_settings settings;
    settings.snapshot_interval = 8;
    settings.chunk_size = 64;
    return settings;
}

void lead_with_commands(simulated_group& group)
{
    group.found({1, 2, 3});
    ASSERT_TRUE(group.elect(1, seconds(3)));
    for (int number = 0; number < 5; ++number)
    {
        group.propose(1, "before" + std::to_string(number));
    }
    ASSERT_TRUE(group.run(seconds(3),
                          [&] { return group.acknowledged().size() == 5; }));
    group.run(milliseconds(200));
}

// Something that makes replicas write, and the one that is stopped in it.
struct crash_case
{
    const char* name;
    std::uint32_t victim;
    void (*action)(simulated_group&);
};

void append(simulated_group& group)
{
    group.propose(1, "during");
}

void snapshot(simulated_group& group)
{
    for (int number = 0; number < 10; ++number)
    {
        group.propose(1, "during" + std::to_string(number));
    }
}

void vote(simulated_group& group)
{
    group.hand_over(1);
}

void replace_disk(simulated_group& group)
{
    group.at(3).lose_disk();
    const auto& joining = group.at(3);
    group.change(1,
                 agreement::add_replica{joining.identity(), joining.address(),
                                        joining.previous_identity()});
}

void remove_member(simulated_group& group)
{
    group.change(1, agreement::remove_replica{group.at(3).identity()});
}

void snapshot_transfer(simulated_group& group)
{
    group.cut({{1, 2}, {3}});
    snapshot(group);
    group.run(milliseconds(300));
    group.heal();
}

} // namespace

// Guards against a stop at any write or sync after which the group loses an
// acknowledged command, differs, or does not go on.
TEST(agreement_contract, survives_a_stop_at_each_write)
{
    const std::vector<crash_case> cases{
        {"append at the leader", 1, append},
        {"append at a follower", 2, append},
        {"snapshot at the leader", 1, snapshot},
        {"snapshot at a follower", 2, snapshot},
        {"vote at the old leader", 1, vote},
        {"vote at the new leader", 2, vote},
        {"vote at the other follower", 3, vote},
        {"disk replacement at the leader", 1, replace_disk},
        {"disk replacement at a follower", 2, replace_disk},
        {"disk replacement at the learner", 3, replace_disk},
        {"removal at the leader", 1, remove_member},
        {"removal at a follower", 2, remove_member},
        {"snapshot transfer at the leader", 1, snapshot_transfer},
        {"snapshot transfer at the follower", 3, snapshot_transfer},
    };
    for (const auto& fault : cases)
    {
        bool reached_end = false;
        for (std::uint64_t at = 0; !reached_end; ++at)
        {
            SCOPED_TRACE(std::string(fault.name) + ", write " +
                         std::to_string(at));
            simulated_group group(at + 1, small_settings());
            lead_with_commands(group);
            // A replacement wipes the disk, and with it an earlier stop.
            const bool late = fault.victim == 3 && fault.action == replace_disk;
            if (!late)
            {
                group.at(fault.victim).disk().crash_at(at);
            }
            fault.action(group);
            if (late)
            {
                group.at(fault.victim).disk().crash_at(at);
            }
            group.run(seconds(1));
            reached_end = group.at(fault.victim).running();
            ASSERT_EQ(group.settle(), "");
            ASSERT_LT(at, 200U);
        }
    }
}

// Guards against a command that a submitter was told is committed, or not run,
// when the opposite is true, with answers lost at random.
TEST(agreement_contract, answers_are_true_for_racing_submitters)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        SCOPED_TRACE(seed);
        simulated_group group(seed, small_settings());
        group.set_conditions({0.2, 0.2, milliseconds(1), milliseconds(30)});
        group.found({1, 2, 3});
        std::map<std::string, std::vector<std::uint64_t>> tokens;
        for (int round = 0; round < 40; ++round)
        {
            const auto command = "c" + std::to_string(round);
            for (const std::uint32_t instance : {1U, 2U, 3U})
            {
                tokens[command].push_back(group.propose(instance, command));
            }
            group.run(milliseconds(100));
        }
        ASSERT_EQ(group.settle(), "");
        const auto& held = *group.leader();
        for (const auto& [command, sent] : tokens)
        {
            bool may_have_run = false;
            for (const auto token : sent)
            {
                const auto answer = group.answer(token);
                ASSERT_TRUE(answer);
                may_have_run = may_have_run || *answer ||
                               answer->error().kind == error_kind::timeout;
            }
            EXPECT_TRUE(may_have_run || !held.holds(command)) << command;
        }
    }
}

// Guards against members that confirm a command before they know their group,
// so that none of them stands for election once the founder is lost.
TEST(agreement_contract, commits_nothing_before_a_majority_knows_the_group)
{
    simulated_group group(13, small_settings());
    group.found({1, 2, 3}, {1});
    ASSERT_TRUE(group.elect(1, seconds(3)));
    group.propose(1, "x");
    ASSERT_TRUE(group.run(seconds(1),
                          [&] { return group.acknowledged().contains("x"); }));
    group.at(1).kill();
    ASSERT_TRUE(group.run(seconds(5),
                          [&]
                          {
                              const auto* next = group.leader();
                              return next != nullptr && next->holds("x");
                          }));
}

// Guards against a read that misses a command that was answered before.
TEST(agreement_contract, reads_see_all_earlier_answers)
{
    simulated_group group(5, small_settings());
    lead_with_commands(group);
    const auto command = group.propose(1, "x");
    ASSERT_TRUE(group.run(seconds(1),
                          [&] { return group.answer(command).has_value(); }));
    group.freeze(1);
    group.run(seconds(2));
    auto& next = *group.leader();
    const auto read = group.read(next.instance());
    ASSERT_TRUE(
        group.run(seconds(1), [&] { return group.answer(read).has_value(); }));
    EXPECT_GE(**group.answer(read), **group.answer(command));
    EXPECT_TRUE(next.holds("x"));

    const auto stale = group.read(1);
    group.thaw(1);
    ASSERT_TRUE(
        group.run(seconds(1), [&] { return group.answer(stale).has_value(); }));
    EXPECT_EQ(group.answer(stale)->error().kind, error_kind::not_leader);
}

// Guards against a replica that counts as caught up after a restart although it
// has not applied what was acknowledged before.
TEST(agreement_contract, caught_up_replicas_hold_all_earlier_answers)
{
    // Without a snapshot that would hold the commands.
    simulated_group group(11, agreement::agreement_settings{});
    lead_with_commands(group);
    for (const std::uint32_t instance : {1U, 2U, 3U})
    {
        group.at(instance).kill();
    }
    for (const std::uint32_t instance : {1U, 2U, 3U})
    {
        group.restart(instance);
    }
    const auto caught_up = [&group](std::uint32_t instance)
    {
        const auto* node = group.at(instance).node();
        return node != nullptr && node->is_caught_up(group.now());
    };
    const auto is_true = [&](std::uint32_t instance)
    {
        return !caught_up(instance) || group.at(instance).holds("before4");
    };
    bool always_true = true;
    const bool all_caught_up =
        group.run(seconds(5),
                  [&]
                  {
                      always_true =
                          always_true && is_true(1) && is_true(2) && is_true(3);
                      return caught_up(1) && caught_up(2) && caught_up(3);
                  });
    EXPECT_TRUE(all_caught_up);
    EXPECT_TRUE(always_true);
}

// Guards against a change that the rules forbid or an error that misleads.
TEST(agreement_contract, refuses_forbidden_membership_changes)
{
    simulated_group group(7, small_settings());
    lead_with_commands(group);
    group.spawn(4);
    group.spawn(5);
    const auto kind_of = [&](agreement::membership_change change)
    {
        const auto token = group.change(1, change);
        group.run(seconds(1));
        const auto answer = *group.answer(token);
        return answer ? std::optional<error_kind>() : answer.error().kind;
    };
    const auto id = [&](std::uint32_t instance)
    {
        return group.at(instance).identity();
    };
    using agreement::add_replica;
    using agreement::remove_replica;

    EXPECT_EQ(kind_of(remove_replica{id(1)}), error_kind::invalid_argument);
    EXPECT_EQ(kind_of(remove_replica{id(4)}), error_kind::not_found);
    EXPECT_EQ(kind_of(add_replica{id(2), {2, 1}, {}}), error_kind::conflict);
    EXPECT_EQ(kind_of(add_replica{{}, {9, 1}, {}}),
              error_kind::identity_retired);
    group.cut({{1, 2, 3}, {4}});
    EXPECT_EQ(kind_of(add_replica{id(4), {4, 1}, {}}), std::nullopt);
    EXPECT_EQ(kind_of(add_replica{id(5), {5, 1}, {}}),
              error_kind::change_in_progress);
    EXPECT_EQ(kind_of(remove_replica{id(2)}), error_kind::change_in_progress);
    EXPECT_EQ(kind_of(remove_replica{id(4)}), std::nullopt);
    EXPECT_EQ(kind_of(add_replica{id(4), {4, 1}, {}}),
              error_kind::identity_retired);
    EXPECT_EQ(kind_of(remove_replica{id(2)}), std::nullopt);
    EXPECT_EQ(group.settle(), "");
}

} // namespace boragestand::testing
