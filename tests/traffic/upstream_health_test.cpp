#include "traffic_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace boragestand::coordination
{

namespace
{

bool is_active(const traffic_policy& policy, upstream_id upstream)
{
    const auto active = policy.active_set(test_service);
    return std::any_of(active.begin(), active.end(),
                       [upstream](const protocol::settled_upstream& item)
                       { return item.upstream == upstream; });
}

void answer(traffic_policy& policy, unsigned index, unsigned times, int now,
            int handshake_ms = 2)
{
    for (unsigned count = 0; count < times; ++count)
    {
        const duration taken = std::chrono::milliseconds(handshake_ms);
        policy.record(observation_of(1, id_of(index), flow_established{taken}),
                      at(now));
    }
}

void fail(traffic_policy& policy, unsigned index, unsigned times, int now)
{
    for (unsigned count = 0; count < times; ++count)
    {
        policy.record(observation_of(1, id_of(index), syn_repeated{}), at(now));
    }
}

std::size_t count_events(traffic_policy& policy, const std::string& event)
{
    const auto events = policy.take_events();
    return static_cast<std::size_t>(std::count_if(
        events.begin(), events.end(),
        [&event](const traffic_event& item) { return item.event == event; }));
}

endpoint_report report_of(unsigned index, bool healthy, std::uint32_t open = 0,
                          std::uint16_t running = 0)
{
    return {test_service, id_of(index), healthy, open, running};
}

} // namespace

// Guards against ejection after too few failures, and against new flows for an
// upstream that answers none.
TEST(upstream_health, ejects_what_does_not_answer)
{
    struct observation_case
    {
        const char* name;
        unsigned answered;
        unsigned unanswered;
        int handshake_ms;
        bool active;
    };
    for (const auto& item : {
             observation_case{"few failures", 0, 2, 2, true},
             observation_case{"only failures", 0, 3, 2, false},
             observation_case{"more failures", 5, 6, 2, false},
             observation_case{"loss on the way", 20, 6, 2, true},
             observation_case{"slow handshakes", 20, 0, 900, false},
             observation_case{"slower, but not much", 20, 0, 300, true},
         })
    {
        SCOPED_TRACE(item.name);
        auto policy = policy_with(6);
        for (unsigned other = 1; other < 6; ++other)
        {
            answer(policy, other, 10, 10);
        }
        answer(policy, 0, item.answered, 10, item.handshake_ms);
        fail(policy, 0, item.unanswered, 10);
        policy.poll(at(100), wall_time{});
        EXPECT_EQ(is_active(policy, id_of(0)), item.active);
        EXPECT_EQ(policy.active_set(test_service).size(),
                  item.active ? 6u : 5u);
    }
}

// Guards against ejecting all upstreams of a service because of a common cause,
// such as a network fault.
TEST(upstream_health, ejects_a_third_at_most_and_never_the_last)
{
    const std::vector<std::pair<unsigned, std::size_t>> cases{
        {1, 1}, {2, 2}, {3, 2}, {4, 3}, {6, 4}, {14, 10}};
    for (const auto& [upstreams, left] : cases)
    {
        SCOPED_TRACE(upstreams);
        auto policy = policy_with(upstreams);
        for (unsigned index = 0; index < upstreams; ++index)
        {
            fail(policy, index, 9, 10);
        }
        policy.poll(at(100), wall_time{});
        EXPECT_EQ(policy.active_set(test_service).size(), left);
    }
    traffic_settings all;
    all.ejection_percent = 100;
    auto policy = policy_with(3, configuration_of(), all);
    for (unsigned index = 0; index < 3; ++index)
    {
        fail(policy, index, 9, 10);
    }
    policy.poll(at(100), wall_time{});
    EXPECT_EQ(policy.active_set(test_service).size(), 1u);
}

// Guards against an ejection limit that is not enforced when other upstreams
// leave.
TEST(upstream_health, brings_ejected_ones_back_when_the_others_drain)
{
    auto policy = policy_with(6);
    fail(policy, 0, 9, 10);
    fail(policy, 1, 9, 10);
    policy.poll(at(100), wall_time{});
    EXPECT_EQ(policy.active_set(test_service).size(), 4u);
    for (unsigned index = 2; index < 6; ++index)
    {
        auto record = record_of(index, 2);
        record.state = protocol::upstream_state::draining;
        policy.apply(record, at(200));
    }
    EXPECT_EQ(policy.active_set(test_service).size(), 2u);
}

// Guards against an ejection that never ends, a return at full weight, and a
// back-off that does not grow.
TEST(upstream_health, backs_off_and_returns_on_trial)
{
    auto policy = policy_with(6);
    const auto weight = [&policy](int now)
    {
        policy.poll(at(now), wall_time{});
        for (const auto& item : policy.active_set(test_service))
        {
            if (item.upstream == id_of(0))
            {
                return int{item.weight};
            }
        }
        return 0;
    };
    fail(policy, 0, 3, 10);
    EXPECT_EQ(weight(100), 0);
    EXPECT_EQ(weight(5050), 0);
    EXPECT_EQ(weight(5100), 25);
    fail(policy, 0, 1, 5200);
    EXPECT_EQ(weight(5300), 0);
    EXPECT_EQ(weight(15250), 0);
    EXPECT_EQ(weight(15300), 25);
    answer(policy, 0, 3, 15400);
    EXPECT_EQ(weight(15500), 100);
}

// Guards against trusting a health endpoint that contradicts the flows, healthy
// or unhealthy, and against not logging the contradiction.
TEST(upstream_health, believes_flows_before_endpoints)
{
    auto policy = policy_with(6);
    policy.apply(report_of(0, false), at(10));
    policy.poll(at(100), wall_time{});
    EXPECT_FALSE(is_active(policy, id_of(0))); // not contradicted

    answer(policy, 1, 20, 110);
    policy.apply(report_of(1, false), at(120));
    policy.poll(at(200), wall_time{});
    EXPECT_TRUE(is_active(policy, id_of(1)));
    EXPECT_EQ(count_events(policy, "endpoint_distrusted"), 1u);

    // A distrusted endpoint is also ignored when there are no recent flows.
    policy.apply(report_of(1, false), at(20000));
    policy.poll(at(20100), wall_time{});
    EXPECT_TRUE(is_active(policy, id_of(1)));

    fail(policy, 2, 9, 20200);
    policy.apply(report_of(2, true), at(20250));
    policy.poll(at(20300), wall_time{});
    EXPECT_FALSE(is_active(policy, id_of(2)));
}

// Guards against a load endpoint that diverts or attracts flows with values
// that contradict the open flows.
TEST(upstream_health, ignores_a_lying_load_endpoint)
{
    struct lie
    {
        std::uint32_t open;
        std::uint16_t running;
        bool placed_there;
    };
    for (const auto& item : {lie{0, 2, false}, // plausible, so it is used
                             lie{500, 2, true}, lie{0, 60, true}})
    {
        auto policy = policy_with(1);
        policy.apply(report_of(0, true, item.open, item.running), at(10));
        const auto decision = policy.admit(arrival_of(1), at(20));
        EXPECT_EQ(std::holds_alternative<placed>(decision), item.placed_there);
    }
}

// Guards against an active set that contains a draining upstream, with random
// orders of announcements, overrides, ejections and returns.
RC_GTEST_PROP(active_set, never_holds_a_draining_upstream, ())
{
    auto policy = policy_with(5);
    std::vector<bool> draining(5, false);
    std::vector<bool> overridden(5, false);
    std::vector<std::uint64_t> sequence(5, 1);
    std::uint64_t revision = 1;
    for (int now = 100; now < 6000; now += 200)
    {
        const auto index = *rc::gen::inRange(0u, 5u);
        const auto kind = *rc::gen::inRange(0, 4);
        if (kind < 2)
        {
            auto record = record_of(index, ++sequence[index]);
            draining[index] = kind == 0;
            record.state = kind == 0 ? protocol::upstream_state::draining
                                     : protocol::upstream_state::ready;
            policy.apply(record, at(now));
        }
        if (kind == 2)
        {
            fail(policy, index, 5, now);
        }
        if (kind == 3)
        {
            overridden[index] = !overridden[index];
            auto configuration = configuration_of(++revision);
            for (unsigned other = 0; other < 5; ++other)
            {
                configuration.overrides.push_back(
                    {test_service, record_of(other).name, std::nullopt,
                     static_cast<bool>(overridden[other])});
            }
            put(policy, configuration, at(now));
        }
        policy.poll(at(now + 100), wall_time{});
        for (unsigned other = 0; other < 5; ++other)
        {
            RC_ASSERT(!((draining[other] || overridden[other]) &&
                        is_active(policy, id_of(other))));
        }
    }
}

} // namespace boragestand::coordination
