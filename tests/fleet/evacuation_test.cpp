#include "fleet_group.hpp"

#include <gtest/gtest.h>

namespace boragestand::fleet
{

namespace
{

using namespace std::chrono_literals;

/// Three control instances with an upstream of "desk" in each of the data
/// centres "a" and "b".
class fleet_evacuation_test : public testing::Test
{
protected:
    void SetUp() override
    {
        for (std::uint32_t number = 1; number <= 3; ++number)
        {
            fleet_.start(number);
        }
        ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(3); }));
        ASSERT_TRUE(fleet_.submit(7, "seven"));
        send_heartbeats(1);
    }

    void send_heartbeats(std::uint64_t sequence)
    {
        fleet_.send_heartbeat(1, make_upstream(1, sequence));
        auto other = make_upstream(2, sequence);
        other.data_centre = "b";
        fleet_.send_heartbeat(1, other);
    }

    /// The upstream that a new flow is placed on, 0 if none.
    std::uint64_t place(entry_node& entry)
    {
        traffic::token_packet syn;
        syn.flow = {{0x64400001, ++port_}, {0xc6120001, 443}};
        syn.syn = true;
        const auto decision = entry.decide(syn, fleet_.timers().now());
        const auto* forward = std::get_if<traffic::forward_packet>(&decision);
        return forward == nullptr ? 0 : forward->upstream;
    }

    /// Whether a few new flows in a row all reach this upstream.
    bool places_only_on(entry_node& entry, std::uint64_t upstream)
    {
        for (int i = 0; i < 4; ++i)
        {
            if (place(entry) != upstream)
            {
                return false;
            }
        }
        return true;
    }

    std::unique_ptr<entry_node> ready_entry()
    {
        auto entry = fleet_.make_entry();
        EXPECT_TRUE(fleet_.run_until(
            [&] {
                return entry->is_ready() &&
                       entry->router().upstream_count() == 2;
            }));
        return entry;
    }

    void kill_all()
    {
        for (std::uint32_t number = 1; number <= 3; ++number)
        {
            fleet_.kill(number);
        }
    }

    fleet_group fleet_;
    std::uint16_t port_{1000};
};

} // namespace

// Guards against an evacuation that is acknowledged and not in force, and
// against a resent order that is refused.
TEST_F(fleet_evacuation_test, is_in_force_everywhere_and_ends)
{
    const auto entry = ready_entry();
    ASSERT_TRUE(fleet_.evacuate("a", true));
    EXPECT_TRUE(fleet_.evacuate("a", true));
    EXPECT_TRUE(fleet_.run_until([&] { return places_only_on(*entry, 2); }));
    ASSERT_TRUE(fleet_.evacuate("a", false));
    EXPECT_TRUE(fleet_.evacuate("a", false));
    EXPECT_TRUE(fleet_.run_until([&] { return place(*entry) == 1; }));
}

// Guards against a mistyped name that is acknowledged without effect.
TEST_F(fleet_evacuation_test, refuses_an_unknown_data_centre)
{
    const auto outcome = fleet_.evacuate("nowhere", true);
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().kind, error_kind::not_found);
    EXPECT_TRUE(fleet_.evacuate("b", true));
}

// Guards against an order that is lost, or refused when it is resent, because
// the leader dies after the entry was committed and before it answered.
TEST_F(fleet_evacuation_test, survives_a_leader_that_dies_before_its_answer)
{
    const auto leading = fleet_.leader();
    fleet_.at(leading).submit(state::evacuation_order{"a", true},
                              [](const result<void>&) {});
    fleet_.run_for(200ms);
    fleet_.kill(leading);
    const auto entry = fleet_.make_entry();
    ASSERT_TRUE(fleet_.run_until([&] { return entry->is_ready(); }));
    EXPECT_TRUE(fleet_.run_until([&] { return places_only_on(*entry, 2); }));
    EXPECT_TRUE(fleet_.evacuate("a", true));
}

// Guards against an acknowledged evacuation that is forgotten when all
// instances are killed, also before the group has a leader again.
TEST_F(fleet_evacuation_test, survives_a_kill_of_all_instances)
{
    ASSERT_TRUE(fleet_.evacuate("a", true));
    fleet_.run_for(500ms);
    kill_all();
    fleet_.start(1, false);
    const auto early = fleet_.make_entry();
    ASSERT_TRUE(fleet_.run_until([&] { return place(*early) != 0; }));
    EXPECT_TRUE(places_only_on(*early, 2));
    fleet_.start(2, false);
    fleet_.start(3, false);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.leader() != 0; }));
    EXPECT_TRUE(places_only_on(*early, 2));
    ASSERT_TRUE(fleet_.evacuate("a", false));
    EXPECT_TRUE(fleet_.run_until([&] { return place(*early) == 1; }));
}

// Guards against an evacuation that only one disk held.
TEST_F(fleet_evacuation_test, survives_the_loss_of_the_disk_that_answered)
{
    const auto leading = fleet_.leader();
    ASSERT_TRUE(fleet_.evacuate("a", true));
    fleet_.kill(leading);
    fleet_.lose_disk(leading);
    fleet_.start(leading, false);
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.has_voters(3); }));
    const auto entry = fleet_.make_entry();
    ASSERT_TRUE(fleet_.run_until([&] { return entry->is_ready(); }));
    EXPECT_TRUE(fleet_.run_until([&] { return places_only_on(*entry, 2); }));
}

// Guards against an entry instance that keeps an evacuation for ever because it
// was isolated when it ended.
TEST_F(fleet_evacuation_test, ends_at_an_instance_that_was_isolated)
{
    const auto entry = ready_entry();
    ASSERT_TRUE(fleet_.evacuate("a", true));
    ASSERT_TRUE(fleet_.run_until([&] { return places_only_on(*entry, 2); }));
    kill_all();
    fleet_.run_for(500ms);
    EXPECT_TRUE(places_only_on(*entry, 2));
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        fleet_.start(number, false);
    }
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.leader() != 0; }));
    ASSERT_TRUE(fleet_.evacuate("a", false));
    EXPECT_TRUE(fleet_.run_until([&] { return place(*entry) == 1; }));
}

} // namespace boragestand::fleet
