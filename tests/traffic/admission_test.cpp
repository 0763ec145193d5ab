#include "traffic_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace boragestand::coordination
{

namespace
{

using protocol::request_class;
using namespace std::chrono_literals;

bool is_placed(const admission& decision)
{
    return std::holds_alternative<placed>(decision);
}

wall_time wall(int milliseconds)
{
    return wall_time(std::chrono::milliseconds(milliseconds));
}

std::vector<hold_outcome> poll(traffic_policy& policy, int now)
{
    return policy.poll(at(now), wall(now));
}

// Fills every slot of the service with flows numbered from first.
void fill(traffic_policy& policy, std::uint64_t first, unsigned slots, int now)
{
    for (unsigned count = 0; count < slots; ++count)
    {
        ASSERT_TRUE(
            is_placed(policy.admit(arrival_of(first + count), at(now))));
    }
}

state::refusal_agreement agreement_for(const std::string& rule,
                                       std::uint32_t limit = 100,
                                       int expires = 600000)
{
    return {11, "director", test_service, rule, limit, wall(expires)};
}

state::rule refuse_rule()
{
    state::rule rule;
    rule.name = "far-callers";
    rule.service = test_service;
    rule.source_address = 0x0a090000;
    rule.source_prefix_length = 16;
    rule.action = state::rule_action::refuse;
    return rule;
}

flow_arrival far_arrival(std::uint64_t flow_hash)
{
    auto arrival = arrival_of(flow_hash);
    arrival.caller_address = 0x0a090107;
    return arrival;
}

} // namespace

// Guards against a queue that releases long work before short work, or that
// starves long work.
TEST(hold_queue, releases_short_work_first_and_aged_work_in_order)
{
    auto policy = policy_with(1);
    fill(policy, 1, 2, 0);
    for (const auto& [flow, work] : {std::pair(10, request_class::long_work),
                                     std::pair(11, request_class::short_work),
                                     std::pair(12, request_class::short_work)})
    {
        EXPECT_TRUE(std::holds_alternative<held>(
            policy.admit(arrival_of(flow, work), at(flow))));
    }
    const auto release = [&policy](std::uint64_t ended, int now)
    {
        policy.record(observation_of(ended, id_of(0), flow_ended{}), at(now));
        const auto outcomes = poll(policy, now);
        return outcomes.size() == 1 ? outcomes[0].flow_hash : 0;
    };
    EXPECT_EQ(release(1, 100), 11u);
    // The long flow has waited longer than the aging limit of two seconds.
    policy.record(observation_of(11, id_of(0), flow_progressed{}), at(950));
    for (int now = 1000; now <= 2050; now += 150)
    {
        policy.record(observation_of(2, id_of(0), flow_progressed{}), at(now));
        policy.record(observation_of(11, id_of(0), flow_progressed{}), at(now));
    }
    EXPECT_EQ(release(2, 2100), 10u);
    EXPECT_EQ(release(11, 2110), 12u);
}

// Guards against new short flows that are placed before waiting ones, and
// against an unbounded queue.
TEST(hold_queue, is_bounded_and_lets_no_new_flow_overtake)
{
    auto configuration = configuration_of();
    configuration.services[0].hold_capacity = 2;
    auto policy = policy_with(1, configuration);
    fill(policy, 1, 2, 0);
    EXPECT_EQ(policy.admit(arrival_of(3), at(1)), admission(held{}));
    policy.record(observation_of(1, id_of(0), flow_ended{}), at(2));
    EXPECT_EQ(policy.admit(arrival_of(4), at(3)), admission(held{}));
    EXPECT_EQ(policy.admit(arrival_of(5), at(3)),
              admission(dropped{drop_reason::hold_queue_full}));
    const auto outcomes = poll(policy, 4);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0].flow_hash, 3u);
}

// Guards against running a request whose cancellation was confirmed, which
// tells the caller that it was not run.
TEST(hold_queue, never_releases_a_cancelled_flow)
{
    auto policy = policy_with(1);
    fill(policy, 1, 2, 0);
    policy.admit(arrival_of(3), at(1));
    policy.admit(arrival_of(4), at(1));
    EXPECT_TRUE(policy.cancel({3}));
    EXPECT_FALSE(policy.cancel({3}));
    EXPECT_FALSE(policy.cancel({1}));
    policy.record(observation_of(1, id_of(0), flow_ended{}), at(5));
    policy.record(observation_of(2, id_of(0), flow_ended{}), at(5));
    const auto outcomes = poll(policy, 6);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0].flow_hash, 4u);
    EXPECT_TRUE(poll(policy, 20000).empty());
}

// Guards against flows that wait forever, and against refusing a flow that
// found no slot without a valid agreement for this service and an empty rule
// name.
TEST(hold_queue, drops_past_the_limit_and_refuses_only_by_agreement)
{
    struct expiry_case
    {
        const char* name;
        std::vector<state::refusal_agreement> agreements;
        admission expected;
    };
    auto other_service = agreement_for("");
    other_service.service = service_id{8};
    const admission drop = dropped{drop_reason::hold_expired};
    const std::vector<expiry_case> cases{
        {"no agreement", {}, drop},
        {"valid", {agreement_for("")}, refused{11}},
        {"expired", {agreement_for("", 100, 4000)}, drop},
        {"for a rule", {agreement_for("far-callers")}, drop},
        {"for another service", {other_service}, drop},
        {"used up", {agreement_for("", 0)}, drop},
    };
    for (const auto& item : cases)
    {
        SCOPED_TRACE(item.name);
        auto configuration = configuration_of();
        configuration.services[0].short_limit_ms = 60000;
        configuration.agreements = item.agreements;
        auto policy = policy_with(1, configuration);
        fill(policy, 1, 2, 0);
        policy.admit(arrival_of(3), at(0));
        EXPECT_TRUE(poll(policy, 4999).empty());
        const auto outcomes = poll(policy, 5000);
        ASSERT_EQ(outcomes.size(), 1u);
        EXPECT_EQ(outcomes[0].decision, item.expected);
    }
}

// Guards against refuse rules that apply without an agreement, and against
// using an agreement more often per minute than it allows.
TEST(director_gate, lets_a_refuse_rule_act_only_within_its_agreement)
{
    auto configuration = configuration_of();
    configuration.rules = {refuse_rule()};
    auto policy = policy_with(4, configuration);
    EXPECT_TRUE(is_placed(policy.admit(far_arrival(1), at(0))));

    configuration.revision = 2;
    configuration.agreements = {agreement_for("far-callers", 2, 70000)};
    put(policy, configuration, at(10));
    EXPECT_TRUE(is_placed(policy.admit(arrival_of(2), at(10))));
    EXPECT_EQ(policy.admit(far_arrival(3), at(50)), admission(refused{11}));
    EXPECT_EQ(policy.admit(far_arrival(4), at(59000)), admission(refused{11}));
    EXPECT_TRUE(is_placed(policy.admit(far_arrival(5), at(60040))));
    EXPECT_EQ(policy.admit(far_arrival(6), at(60060)), admission(refused{11}));
    policy.record(observation_of(5, id_of(0), flow_ended{}), at(60070));
    EXPECT_TRUE(is_placed(policy.admit(far_arrival(7), at(130000))));
}

// Guards against waking the director once per flow, not repeating a lost
// request, and sending no request in a later episode.
TEST(director_gate, wakes_the_director_once_for_each_episode)
{
    auto policy = policy_with(1);
    fill(policy, 1, 2, 0);
    policy.record(observation_of(1, id_of(0), flow_progressed{}), at(10));
    for (std::uint64_t flow = 3; flow < 20; ++flow)
    {
        policy.admit(arrival_of(flow), at(20));
    }
    const auto run_slots = [&policy](int from, int until)
    {
        for (int now = from; now <= until; now += 100)
        {
            policy.record(observation_of(1, id_of(0), flow_progressed{}),
                          at(now));
            policy.record(observation_of(2, id_of(0), flow_progressed{}),
                          at(now));
            poll(policy, now);
        }
    };
    run_slots(100, 2400);
    EXPECT_TRUE(policy.due_director_requests(at(2400)).empty());
    run_slots(2500, 2600);
    const auto first = policy.due_director_requests(at(2600));
    ASSERT_EQ(first.size(), 1u);
    run_slots(2700, 4500);
    EXPECT_TRUE(policy.due_director_requests(at(4500)).empty());
    EXPECT_EQ(policy.due_director_requests(at(4600)), first);
    policy.acknowledge_director_request(test_service, first[0].episode + 1);
    EXPECT_EQ(policy.due_director_requests(at(6600)), first);
    policy.acknowledge_director_request(test_service, first[0].episode);
    EXPECT_TRUE(policy.due_director_requests(at(9000)).empty());

    poll(policy, 10000); // the held flows expire, the last overload
    poll(policy, 50000); // the episode ends
    fill(policy, 100, 2, 50000);
    policy.admit(arrival_of(103), at(50000));
    policy.record(observation_of(100, id_of(0), flow_progressed{}), at(50900));
    for (int now = 50100; now < 53000; now += 100)
    {
        policy.record(observation_of(100, id_of(0), flow_progressed{}),
                      at(now));
        policy.record(observation_of(101, id_of(0), flow_progressed{}),
                      at(now));
        poll(policy, now);
    }
    const auto second = policy.due_director_requests(at(53000));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_NE(second[0].episode, first[0].episode);
}

// Guards against a share rule whose flows exceed their share of the slots, or
// whose waiting flows block flows of other callers.
TEST(share_rule, bounds_its_flows_and_blocks_no_others)
{
    auto configuration = configuration_of();
    auto rule = refuse_rule();
    rule.action = state::rule_action::share;
    rule.share_percent = 25;
    configuration.rules = {rule};
    auto policy = policy_with(8, configuration); // 16 slots, 4 for the share
    unsigned taken = 0;
    for (std::uint64_t flow = 1; flow <= 10; ++flow)
    {
        taken += is_placed(policy.admit(far_arrival(flow), at(0))) ? 1 : 0;
    }
    EXPECT_EQ(taken, 4u);
    for (std::uint64_t flow = 20; flow < 32; ++flow)
    {
        EXPECT_TRUE(is_placed(policy.admit(arrival_of(flow), at(1))));
    }
    // With a second owner, this one may use half of the share.
    policy.apply(instance_id{2}, protocol::load_report{}, at(2));
    policy.make_load_report(at(2));
    policy.record(observation_of(1, id_of(0), flow_ended{}), at(3));
    policy.record(observation_of(2, id_of(0), flow_ended{}), at(3));
    EXPECT_TRUE(poll(policy, 4).empty());
}

// Guards against slots that stay occupied forever because the end of a flow was
// lost, and against freeing the slot of a flow whose answer still progresses.
TEST(running_flows, frees_the_slot_of_a_flow_without_progress)
{
    auto policy = policy_with(1);
    fill(policy, 1, 2, 0);
    policy.admit(arrival_of(3), at(0));
    policy.admit(arrival_of(4), at(0));
    for (int now = 100; now <= 900; now += 100)
    {
        policy.record(observation_of(1, id_of(0), flow_progressed{}), at(now));
        EXPECT_TRUE(poll(policy, now).empty());
    }
    policy.record(observation_of(1, id_of(0), flow_progressed{}), at(1050));
    const auto silent = poll(policy, 1100);
    ASSERT_EQ(silent.size(), 1u); // flow 2 never showed an answer
    const auto paused = poll(policy, 1300);
    ASSERT_EQ(paused.size(), 1u); // flow 1 stopped at 1050 ms
    EXPECT_EQ(policy.make_load_report(at(1300)).loads[0].open, 4u);
}

// Guards against holding new flows of a service with many idle connections,
// which do not occupy slots.
TEST(running_flows, slots_do_not_bind_where_flows_are_mostly_idle)
{
    auto policy = policy_with(4);
    std::uint64_t flow = 0;
    int held_late = 0;
    for (int now = 0; now < 20000; now += 10)
    {
        const auto decision = policy.admit(arrival_of(++flow), at(now));
        held_late += now > 3000 && !is_placed(decision) ? 1 : 0;
        poll(policy, now);
    }
    EXPECT_EQ(held_late, 0);
    for (const auto& load : policy.make_load_report(at(20000)).loads)
    {
        EXPECT_GT(load.open, 300u);
    }
}

// Guards against a refusal without a valid agreement, with random
// configurations, loads and times.
RC_GTEST_PROP(director_gate, refuses_only_under_a_valid_agreement, ())
{
    auto configuration = configuration_of();
    configuration.services[0].hold_limit_ms = *rc::gen::inRange(1u, 3000u);
    configuration.services[0].hold_capacity = *rc::gen::inRange(0u, 8u);
    configuration.rules = {refuse_rule()};
    const auto limit = *rc::gen::inRange(0u, 4u);
    const int expires = *rc::gen::inRange(0, 20000);
    const bool for_rule = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>())
    {
        configuration.agreements = {
            agreement_for(for_rule ? "far-callers" : "", limit, expires)};
    }
    auto policy = policy_with(*rc::gen::inRange(0u, 3u), configuration);
    std::vector<int> refusals;
    const auto check = [&](const admission& decision, bool held_first, int now)
    {
        if (!std::holds_alternative<refused>(decision))
        {
            return;
        }
        refusals.push_back(now);
        RC_ASSERT(!configuration.agreements.empty());
        RC_ASSERT(now < expires);
        RC_ASSERT(for_rule != held_first);
    };
    int now = 0;
    for (std::uint64_t flow = 1; flow < 60; ++flow)
    {
        now += *rc::gen::inRange(0, 800);
        const bool far = *rc::gen::arbitrary<bool>();
        const auto arrival = far ? far_arrival(flow) : arrival_of(flow);
        check(policy.admit(arrival, at(now)), false, now);
        for (const auto& outcome : poll(policy, now))
        {
            check(outcome.decision, true, now);
        }
    }
    for (std::size_t last = limit; last < refusals.size(); ++last)
    {
        RC_ASSERT(refusals[last] - refusals[last - limit] >= 60000);
    }
}

} // namespace boragestand::coordination
