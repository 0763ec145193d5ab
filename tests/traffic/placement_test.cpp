#include "traffic_fixture.hpp"

#include "coordination/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace boragestand::coordination
{

namespace
{

placement_candidate candidate(std::uint32_t id, std::uint32_t running,
                              std::uint32_t long_work, std::uint32_t open = 0)
{
    return {upstream_id{id}, 100, 2, 2, 2000, true, {open, running, long_work}};
}

placement_candidate reserved_elsewhere(placement_candidate other)
{
    other.reserved = false;
    return other;
}

protocol::load_report load_of(unsigned index, std::uint16_t running,
                              std::uint16_t long_work = 0)
{
    return {1, {{test_service, id_of(index), running, running, long_work}}};
}

} // namespace

// Guards against choosing an upstream without a free slot while another one has
// one, and against long work that blocks short work.
TEST(placement, chooses_where_the_flow_starts_at_once)
{
    struct choice_case
    {
        const char* name;
        std::vector<placement_candidate> candidates;
        bool is_long;
        bool may_deviate;
        std::uint32_t expected; ///< 0 if the flow has to wait
    };
    const std::vector<choice_case> cases{
        {"the default if all are equal",
         {candidate(1, 1, 0), candidate(2, 1, 0)},
         false,
         true,
         1},
        {"a free upstream",
         {candidate(1, 2, 0), candidate(2, 1, 0)},
         false,
         true,
         2},
        {"none if all slots are taken",
         {candidate(1, 2, 0), candidate(2, 2, 2)},
         false,
         true,
         0},
        {"the default if deviations are not allowed",
         {candidate(1, 2, 2), candidate(2, 0, 0)},
         false,
         false,
         1},
        {"short work avoids slots full of long work",
         {candidate(1, 1, 2), candidate(2, 1, 1)},
         false,
         true,
         2},
        {"long work leaves a slot to short work",
         {candidate(1, 1, 1), candidate(2, 1, 0)},
         true,
         true,
         2},
        {"long work fills an upstream if none is left",
         {candidate(1, 1, 1), candidate(2, 1, 1), candidate(3, 2, 2)},
         true,
         true,
         1},
        {"long work avoids slots reserved for another owner",
         {candidate(1, 1, 1), reserved_elsewhere(candidate(2, 0, 0))},
         true,
         true,
         1},
        {"short work avoids the zone that long work fills",
         {candidate(1, 1, 1), candidate(2, 1, 1)},
         false,
         true,
         2},
        {"long work leaves slots that short work needs",
         {candidate(1, 2, 2), candidate(2, 1, 1), candidate(3, 2, 1)},
         true,
         true,
         0},
    };
    for (const auto& item : cases)
    {
        SCOPED_TRACE(item.name);
        placement_request request;
        request.is_long = item.is_long;
        request.may_deviate = item.may_deviate;
        const auto choice =
            choose_upstream(item.candidates, upstream_id{1}, request);
        EXPECT_EQ(choice ? choice->upstream.value : 0, item.expected);
    }
}

// Guards against an imbalance of open flows, and against needless deviations,
// each of which costs a pin.
TEST(placement, deviates_from_an_overloaded_default_only)
{
    placement_request request;
    request.slots_limit_flows = false;
    unsigned deviations = 0;
    for (const std::uint32_t open : {1000u, 1040u, 1400u})
    {
        const std::vector<placement_candidate> candidates{
            candidate(1, 0, 0, open), candidate(2, 0, 0, 1000),
            candidate(3, 0, 0, 1000)};
        for (request.flow_hash = 0; request.flow_hash < 300;
             ++request.flow_hash)
        {
            const auto choice =
                choose_upstream(candidates, upstream_id{1}, request);
            ASSERT_TRUE(choice);
            const bool deviates = choice->upstream != upstream_id{1};
            EXPECT_FALSE(deviates && open <= 1040);
            deviations += deviates ? 1 : 0;
        }
    }
    EXPECT_GT(deviations,
              150u); // 2 of 3 second choices differ from the default
}

// Guards against several owners that fill the same free slot because their load
// reports are old, and against reports that never expire.
TEST(load_view, counts_growth_for_each_owner_and_ages_reports)
{
    auto policy = policy_with(1);
    policy.apply(instance_id{2}, load_of(0, 0), at(0));
    policy.make_load_report(at(0));
    EXPECT_TRUE(
        std::holds_alternative<placed>(policy.admit(arrival_of(1), at(10))));
    // The peer is assumed to have placed one as well.
    EXPECT_EQ(policy.admit(arrival_of(2), at(20)), admission(held{}));
    policy.record(observation_of(1, id_of(0), flow_ended{}), at(30));
    EXPECT_EQ(policy.poll(at(30), wall_time{}).size(), 1u);

    policy.apply(instance_id{2}, load_of(0, 2), at(40));
    policy.record(observation_of(2, id_of(0), flow_ended{}), at(40));
    EXPECT_EQ(policy.admit(arrival_of(3), at(50)), admission(held{}));
    EXPECT_TRUE(policy.poll(at(2030), wall_time{}).empty());
    EXPECT_EQ(policy.poll(at(2100), wall_time{}).size(), 1u);
}

// Guards against two owners, or none, that may use the last slots of an
// upstream for long work.
TEST(load_view, lets_exactly_one_owner_reserve_an_upstream)
{
    for (std::uint32_t upstream = 0; upstream < 20; ++upstream)
    {
        unsigned permitted = 0;
        for (std::uint32_t owner = 1; owner <= 6; ++owner)
        {
            load_view view(instance_id{owner});
            for (std::uint32_t peer = 1; peer <= 6; ++peer)
            {
                if (peer != owner)
                {
                    view.apply(instance_id{peer}, {}, at(0));
                }
            }
            permitted += view.may_fill_with_long(upstream_id{upstream}) ? 1 : 0;
        }
        EXPECT_EQ(permitted, 1u);
    }
}

// Guards against flows that were not declared as long, run for long, and are
// still counted as short, by this owner and its peers.
TEST(load_view, reports_flows_that_became_long)
{
    auto policy = policy_with(1);
    policy.admit(arrival_of(1), at(0));
    policy.record(observation_of(1, id_of(0), flow_became_long{}), at(900));
    policy.record(observation_of(1, id_of(0), flow_became_long{}), at(910));
    const auto loads = policy.make_load_report(at(920)).loads;
    ASSERT_EQ(loads.size(), 1u);
    EXPECT_EQ(loads[0],
              (protocol::upstream_load{test_service, id_of(0), 1, 1, 1}));
    policy.record(observation_of(1, id_of(0), flow_ended{}), at(930));
    EXPECT_TRUE(policy.make_load_report(at(940)).loads.empty());
}

// Guards against a removal that changes the upstream of other flows.
RC_GTEST_PROP(rendezvous_choice, removal_moves_no_other_flow, ())
{
    auto set = *rc::gen::container<std::vector<protocol::settled_upstream>>(
        rc::gen::construct<protocol::settled_upstream>(
            rc::gen::construct<upstream_id>(
                rc::gen::arbitrary<std::uint32_t>()),
            rc::gen::element<std::uint16_t>(25, 100, 100, 100, 400)));
    std::sort(set.begin(), set.end());
    set.erase(std::unique(set.begin(), set.end(),
                          [](const auto& left, const auto& right)
                          { return left.upstream == right.upstream; }),
              set.end());
    RC_PRE(set.size() >= 2);
    auto smaller = set;
    const auto removed = *rc::gen::inRange<std::size_t>(0, set.size());
    smaller.erase(smaller.begin() + static_cast<std::ptrdiff_t>(removed));
    for (std::uint64_t flow = 0; flow < 200; ++flow)
    {
        const auto before = rendezvous_choice(set, mix_hashes(flow, 1));
        const auto after = rendezvous_choice(smaller, mix_hashes(flow, 1));
        RC_ASSERT(*before == set[removed].upstream || before == after);
    }
}

// Guards against choices that are not proportional to the weights.
TEST(rendezvous_choice, follows_the_weights)
{
    const std::vector<protocol::settled_upstream> set{
        {upstream_id{1}, 100}, {upstream_id{2}, 300}, {upstream_id{3}, 0}};
    unsigned second = 0;
    for (std::uint64_t flow = 0; flow < 4000; ++flow)
    {
        const auto choice = rendezvous_choice(set, mix_hashes(flow, 9));
        ASSERT_NE(*choice, upstream_id{3});
        second += *choice == upstream_id{2} ? 1 : 0;
    }
    EXPECT_NEAR(second, 3000, 150);
}

} // namespace boragestand::coordination
