#include "traffic_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragestand::coordination
{

namespace
{

struct directory_case
{
    const char* name;
    protocol::upstream_record first; ///< applied at 0 ms
    protocol::upstream_record second;
    int second_at;
    bool accepted;
    int looked_at;
    bool active;
};

protocol::upstream_record
leased(std::uint64_t incarnation, std::uint64_t sequence,
       protocol::upstream_state state = protocol::upstream_state::ready)
{
    auto record = record_of(0, sequence, incarnation);
    record.lease_ms = 3000;
    record.state = state;
    return record;
}

std::vector<directory_case> cases()
{
    using protocol::upstream_state;
    const auto ready = leased(5, 5);
    return {
        {"a stale sequence changes nothing", ready,
         leased(5, 4, upstream_state::draining), 10, false, 20, true},
        {"a repeated record renews no lease", ready, leased(5, 5), 2000, false,
         3000, false},
        {"a newer record renews the lease", ready, leased(5, 6), 2000, true,
         4999, true},
        {"the lease ends without a renewal", ready, leased(4, 9), 2000, false,
         3000, false},
        {"a drain ends new flows at once", ready,
         leased(5, 6, upstream_state::draining), 10, true, 10, false},
        {"an older incarnation cannot undo a drain",
         leased(5, 6, upstream_state::draining), leased(4, 9), 10, false, 10,
         false},
        {"a new incarnation returns after a drain",
         leased(5, 6, upstream_state::draining), leased(6, 1), 10, true, 10,
         true},
        {"a withdrawn upstream gets no new flow", ready,
         leased(5, 6, upstream_state::withdrawn), 10, true, 10, false},
        {"an upstream returns after its lease ended", ready, leased(5, 6), 9000,
         true, 9000, true},
    };
}

} // namespace

// Guards against stale records that replace newer ones, and leases that never
// expire.
TEST(upstream_directory, orders_records_and_ends_leases)
{
    for (const auto& item : cases())
    {
        SCOPED_TRACE(item.name);
        auto policy = policy_with(0);
        policy.apply(item.first, at(0));
        EXPECT_EQ(policy.apply(item.second, at(item.second_at)), item.accepted);
        policy.poll(at(item.looked_at), wall_time{});
        EXPECT_EQ(!policy.active_set(test_service).empty(), item.active);
        EXPECT_TRUE(policy.address_of(test_service, id_of(0)));
    }
}

// Guards against announcements that undo an operator's drain or weight.
TEST(upstream_directory, puts_overrides_before_announcements)
{
    auto policy = policy_with(3);
    auto configuration = configuration_of(2);
    configuration.overrides = {
        {test_service, "md-0", std::nullopt, true},
        {test_service, "md-1", std::uint16_t{40}, false},
        {service_id{8}, "md-2", std::nullopt, true},
    };
    put(policy, configuration);
    put(policy, configuration_of(2)); // not newer: ignored
    put(policy, configuration_of(1));
    policy.apply(record_of(0, 2), at(5));
    policy.apply(record_of(1, 2), at(5));
    std::vector<protocol::settled_upstream> expected{{id_of(1), 40},
                                                     {id_of(2), 100}};
    std::sort(expected.begin(), expected.end());
    const auto active = policy.active_set(test_service);
    EXPECT_EQ(std::vector(active.begin(), active.end()), expected);
}

// Guards against a new upstream that starts with its full weight, and against a
// warm-up that changes the active set, and the default of flows, at every poll.
TEST(upstream_directory, ramps_a_new_upstream_in_few_steps)
{
    auto policy = policy_with(0);
    auto record = record_of(0);
    record.warmup_ms = 1000;
    policy.apply(record, at(0));
    std::vector<std::uint16_t> weights;
    for (int now = 0; now <= 1500; now += 10)
    {
        policy.poll(at(now), wall_time{});
        const auto weight = policy.active_set(test_service).front().weight;
        if (weights.empty() || weights.back() != weight)
        {
            weights.push_back(weight);
        }
    }
    EXPECT_EQ(weights, (std::vector<std::uint16_t>{25, 50, 75, 100}));
}

} // namespace boragestand::coordination
