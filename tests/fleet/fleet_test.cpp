#include "fleet_group.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace boragestand::fleet
{

namespace
{

using namespace std::chrono_literals;
using coordination::upstream_condition;

class fleet_test : public testing::Test
{
protected:
    void form_group(std::uint32_t count)
    {
        for (std::uint32_t number = 1; number <= count; ++number)
        {
            fleet_.start(number);
        }
        ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(count); }));
    }

    /// Condition of an upstream at an instance; none if it is not known there.
    std::optional<upstream_condition> condition(std::uint32_t number,
                                                std::uint64_t id)
    {
        const auto* record = fleet_.at(number).registry().find(id);
        return record == nullptr ? std::nullopt
                                 : std::optional(record->condition);
    }

    bool can_place(entry_node& entry, std::uint16_t port)
    {
        traffic::token_packet syn;
        syn.flow = {{0x64400001, port}, {0xc6120001, 443}};
        syn.syn = true;
        const auto decision = entry.decide(syn, fleet_.timers().now());
        return std::holds_alternative<traffic::forward_packet>(decision);
    }

    bool is_reset(entry_node& entry, std::uint16_t port,
                  std::uint16_t destination)
    {
        traffic::token_packet syn;
        syn.flow = {{0x64400001, port}, {0xc6120001, destination}};
        syn.syn = true;
        const auto decision = entry.decide(syn, fleet_.timers().now());
        return std::holds_alternative<traffic::reset_caller>(decision);
    }

    fleet_group fleet_;
};

/// Accepts connections at an address and never answers.
class silent_listener
{
public:
    explicit silent_listener(const transport::endpoint& address)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int backlog = 16;
        constexpr int enabled = 1;
        ::setsockopt(socket_.value(), SOL_SOCKET, SO_REUSEADDR, &enabled,
                     sizeof enabled);
        const auto bound = transport::to_sockaddr(address);
        EXPECT_EQ(::bind(socket_.value(),
                         reinterpret_cast<const sockaddr*>(&bound),
                         sizeof bound),
                  0);
        EXPECT_EQ(::listen(socket_.value(), backlog), 0);
    }

private:
    transport::unique_fd socket_;
};

} // namespace

// Guards against the founding of two groups, and against instances other than
// the seeds that never join.
TEST_F(fleet_test, founds_one_group_and_admits_further_instances)
{
    form_group(5);
    EXPECT_TRUE(fleet_.submit(7, "seven"));
    EXPECT_EQ(fleet_.read(), "seven");
}

// Guards against seeds that found a second group while the fleet already runs.
TEST_F(fleet_test, founds_no_group_after_the_first_start)
{
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        fleet_.start(number, false);
    }
    fleet_.run_for(2s);
    EXPECT_EQ(fleet_.leader(), 0U);
}

// Guards against a plan that reverts to an older version, and against a refused
// retransmission.
TEST_F(fleet_test, acknowledges_superseded_plans_without_effect)
{
    form_group(3);
    EXPECT_TRUE(fleet_.submit(7, "seven"));
    EXPECT_TRUE(fleet_.submit(7, "another seven"));
    EXPECT_TRUE(fleet_.submit(3, "three"));
    EXPECT_EQ(fleet_.read(), "seven");
    EXPECT_TRUE(fleet_.submit(30, "thirty"));
    EXPECT_EQ(fleet_.read(), "thirty");
}

// Guards against an instance without a majority that answers an operator with
// possibly outdated data.
TEST_F(fleet_test, reads_and_writes_only_with_a_majority)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    const auto last = fleet_.leader();
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        if (number != last)
        {
            fleet_.kill(number);
        }
    }
    ASSERT_TRUE(fleet_.run_until([&] { return !fleet_.at(last).is_leader(); }));
    std::optional<error_kind> refused;
    fleet_.at(last).read([&](const auto& plan)
                         { refused = plan.error().kind; });
    EXPECT_EQ(refused, error_kind::not_leader);
    EXPECT_FALSE(fleet_.at(last).is_current());
}

// Guards against a plan that is lost with one disk, or with a second disk right
// after the first was replaced.
TEST_F(fleet_test, keeps_plans_when_disks_are_lost_one_after_the_other)
{
    form_group(4);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    for (const std::uint32_t number : {1U, 2U, 3U})
    {
        fleet_.kill(number);
        fleet_.lose_disk(number);
        fleet_.start(number, false);
        ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(4); }))
            << number;
    }
    EXPECT_EQ(fleet_.read(), "seven");
}

// Guards against members that confirm a plan before they know their group: once
// the only one that knew it had lost its disk, they elected no leader any more.
TEST_F(fleet_test, keeps_a_plan_whose_leader_is_lost_right_after_founding)
{
    // Instance 1 decides on the group; the others ask for it twice a second, so
    // they have just asked in vain.
    fleet_.start(2);
    fleet_.start(3);
    fleet_.run_for(50ms);
    fleet_.start(1);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.kill(1);
    fleet_.lose_disk(1);
    fleet_.start(1, false);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(3); }));
    EXPECT_EQ(fleet_.read(), "seven");
}

// Guards against a group that shrinks permanently or keeps failed members when
// an instance is replaced by one at another address.
TEST_F(fleet_test, replaces_a_lost_member_by_its_successor)
{
    form_group(4);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.kill(2);
    fleet_.start(5, false);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(4); }));
    ASSERT_TRUE(fleet_.run_until(
        [&]
        {
            const auto leading = fleet_.leader();
            return leading != 0 && fleet_.has_voters(4) &&
                   fleet_.at(leading).runner().node().group().retired.size() ==
                       1;
        }));
    EXPECT_EQ(fleet_.read(), "seven");
}

// Guards against members that are lost at the same time and then stay voters
// for good, so that the group cannot bear the loss of a disk any more.
TEST_F(fleet_test, replaces_two_members_that_are_lost_at_the_same_time)
{
    form_group(4);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.start(5, false);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(5); }));
    fleet_.kill(4);
    fleet_.run_for(1s);
    fleet_.kill(3);
    fleet_.run_for(1s);
    fleet_.start(6, false);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(4); }));

    fleet_.kill(1);
    fleet_.lose_disk(1);
    fleet_.start(1, false);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(4); }));
    EXPECT_EQ(fleet_.read(), "seven");
}

// Guards against a group that shrinks while a member is cut off for long, and
// cannot bear the losses any more that it was sized for.
TEST_F(fleet_test, keeps_its_size_while_a_member_is_away)
{
    fleet_.set_tolerance({2, std::nullopt, 0});
    form_group(5);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.kill(4);
    fleet_.run_for(lost_member_silence + 2s);
    ASSERT_TRUE(fleet_.submit(9, "nine"));
    for (const std::uint32_t number : {1U, 2U})
    {
        fleet_.kill(number);
        fleet_.lose_disk(number);
    }
    for (const std::uint32_t number : {1U, 2U, 4U})
    {
        fleet_.start(number, false);
    }
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(5); }));
    EXPECT_EQ(fleet_.read(), "nine");
}

// Guards against loss of the plan and the upstreams after a power failure of
// all instances.
TEST_F(fleet_test, comes_back_with_plan_and_upstreams)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.send_heartbeat(1, make_upstream(1, 1));
    fleet_.run_for(registry_save_interval + 500ms);
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        fleet_.kill(number);
    }
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        fleet_.start(number, false);
        EXPECT_EQ(condition(number, 1), upstream_condition::ready);
    }
    EXPECT_EQ(fleet_.read(), "seven");
}

// Guards against single odd upstreams that make a whole directory unreadable:
// replies above the size limit were refused and entry instances stayed behind.
TEST_F(fleet_test, keeps_odd_upstreams_out_of_the_directory)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    for (const std::uint32_t number : {1U, 2U, 3U})
    {
        for (std::uint32_t id = 1; id <= 3; ++id)
        {
            auto odd = make_upstream(id, 1);
            odd.data_centre = std::string(3 * 1024 * 1024, 'x');
            const auto answer = fleet_.send_heartbeat(number, odd);
            EXPECT_FALSE(answer.value_or(result<void>{}));
        }
    }
    const auto entry = fleet_.make_entry();
    EXPECT_TRUE(
        fleet_.run_until([&] { return entry->router().plan_version() == 7; }));
}

// Guards against an upstream that has left and is in use again after a restart
// of all instances, because only its earlier record was saved.
TEST_F(fleet_test, keeps_an_acknowledged_leave_over_a_restart_of_all)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.send_heartbeat(1, make_upstream(1, 1));
    fleet_.run_for(registry_save_interval + 500ms);
    // Saved at once, so that the next regular save is seconds away.
    fleet_.send_heartbeat(1, make_upstream(2, 1));
    fleet_.run_for(500ms);
    const auto left = fleet_.send_heartbeat(
        1, make_upstream(1, 2, upstream_condition::draining));
    ASSERT_TRUE(left && *left);
    fleet_.run_for(500ms);
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        fleet_.kill(number);
    }
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        fleet_.start(number, false);
        EXPECT_EQ(condition(number, 1), upstream_condition::draining) << number;
    }
}

// Guards against a directory that does not fit into one reply, and against
// upstreams that stay in use although the whole directory no longer has them.
TEST_F(fleet_test, sends_a_large_directory_in_pages)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    constexpr std::size_t upstreams = 2 * directory_page_size + 50;
    for (std::uint64_t id = 1; id <= upstreams; ++id)
    {
        fleet_.at(1).handle_heartbeat(make_upstream(id, 1),
                                      [](const result<void>&) {});
    }
    const auto entry = fleet_.make_entry();
    ASSERT_TRUE(fleet_.run_until(
        [&] { return entry->router().upstream_count() == upstreams; }));
    EXPECT_TRUE(can_place(*entry, 1));
    for (std::uint32_t number = 2; number <= 3; ++number)
    {
        EXPECT_TRUE(fleet_.run_until(
            [&] { return fleet_.at(number).registry().size() == upstreams; }));
    }
}

// Guards against entry instances that wait for an election after a power
// failure of all instances, although the disks hold upstreams and a committed
// plan.
TEST_F(fleet_test, serves_with_the_saved_plan_before_there_is_a_leader)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.send_heartbeat(1, make_upstream(1, 1));
    fleet_.run_for(registry_save_interval + 500ms);
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        fleet_.kill(number);
    }
    fleet_.start(1, false);
    const auto entry = fleet_.make_entry();
    int first_plans = 0;
    entry->on_first_plan([&first_plans] { ++first_plans; });
    ASSERT_TRUE(fleet_.run_until([&] { return can_place(*entry, 1); }));
    EXPECT_EQ(entry->router().plan_version(), 7U);
    EXPECT_EQ(first_plans, 1);
    // A caller is reset only under a confirmed plan.
    EXPECT_FALSE(entry->last_current());
    EXPECT_FALSE(is_reset(*entry, 2, 444));
    EXPECT_FALSE(entry->is_ready());
}

// Guards against an entry instance that waits for a control instance that
// accepts connections but never answers, while others would answer.
TEST_F(fleet_test, asks_others_beside_a_silent_control_instance)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    const auto probe = fleet_.make_entry();
    const auto first = probe->source();
    const auto number = fleet_.number_of(first);
    fleet_.kill(number);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.leader() != 0; }));
    const silent_listener silent(first);
    const auto entry = fleet_.make_entry();
    const auto started = fleet_.timers().now();
    ASSERT_TRUE(
        fleet_.run_until([&] { return entry->last_current().has_value(); }));
    EXPECT_LT(fleet_.timers().now() - started, directory_timeout / 2);
    EXPECT_NE(entry->source(), first);
}

// Guards against an instance that never regains contact after all control
// instances known to it were replaced, although its settings name new ones.
TEST_F(fleet_test, asks_new_seeds_when_no_known_instance_answers)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    const auto entry =
        fleet_.make_entry({fleet_.address(101), fleet_.address(102)});
    fleet_.run_for(1s);
    EXPECT_FALSE(entry->last_current());
    entry->set_seeds(fleet_.seeds());
    ASSERT_TRUE(
        fleet_.run_until([&] { return entry->last_current().has_value(); }));
    EXPECT_TRUE(entry->is_ready());
}

// Guards against an acknowledged leave that only the instance that received it
// knows of.
TEST_F(fleet_test, confirms_a_leave_once_a_majority_knows_it)
{
    form_group(3);
    fleet_.send_heartbeat(1, make_upstream(1, 1));
    const auto answered = fleet_.send_heartbeat(
        1, make_upstream(1, 2, upstream_condition::draining));
    ASSERT_TRUE(answered);
    EXPECT_TRUE(*answered);
    int knowing = 0;
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        knowing += condition(number, 1) == upstream_condition::draining ? 1 : 0;
    }
    EXPECT_GE(knowing, 2);
    fleet_.kill(2);
    fleet_.kill(3);
    const auto alone = fleet_.send_heartbeat(
        1, make_upstream(2, 2, upstream_condition::draining));
    ASSERT_TRUE(alone);
    EXPECT_FALSE(*alone);
    // Repeating the same condition is not acknowledged either.
    const auto again = fleet_.send_heartbeat(
        1, make_upstream(2, 3, upstream_condition::draining));
    ASSERT_TRUE(again);
    EXPECT_FALSE(*again);
}

// Guards against an entry instance that stays with a failed control instance
// and so keeps placing flows on an upstream that leaves.
TEST_F(fleet_test, keeps_entry_instances_up_to_date_over_failures)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    fleet_.send_heartbeat(1, make_upstream(1, 1));
    const auto entry = fleet_.make_entry();
    EXPECT_FALSE(entry->is_ready());
    ASSERT_TRUE(fleet_.run_until([&] { return entry->is_ready(); }));
    ASSERT_TRUE(fleet_.run_until([&] { return can_place(*entry, 1); }));
    const auto source = entry->source();
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        if (fleet_.address(number) == source)
        {
            fleet_.kill(number);
            const auto other = number % 3 + 1;
            const auto before = fleet_.timers().now();
            fleet_.send_heartbeat(
                other, make_upstream(1, 2, upstream_condition::draining));
            ASSERT_TRUE(
                fleet_.run_until([&] { return !can_place(*entry, 2); }));
            EXPECT_LT(fleet_.timers().now() - before, 3s);
            break;
        }
    }
    EXPECT_TRUE(fleet_.submit(8, "eight"));
    EXPECT_TRUE(
        fleet_.run_until([&] { return entry->router().plan_version() == 8; }));
}

// Guards against an entry instance that treats a control instance without
// contact to its group as current.
TEST_F(fleet_test, notices_a_control_instance_without_its_group)
{
    form_group(3);
    ASSERT_TRUE(fleet_.submit(7, "seven"));
    const auto entry = fleet_.make_entry();
    ASSERT_TRUE(fleet_.run_until([&] { return entry->is_ready(); }));
    fleet_.kill(2);
    fleet_.kill(3);
    EXPECT_TRUE(fleet_.run_until(
        [&] { return fleet_.timers().now() - *entry->last_current() > 2s; }));
    EXPECT_TRUE(entry->is_ready());
}

} // namespace boragestand::fleet
