#include "traffic/traffic.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace boragestand::traffic
{

namespace
{

using namespace std::chrono_literals;
using coordination::registered_upstream;
using coordination::upstream_condition;

constexpr std::uint64_t identities = 4;

std::string service_name(int number)
{
    return number == 0 ? "desk" : "maps";
}

/// One heartbeat, leave or restart of an upstream.
rc::Gen<registered_upstream> arbitrary_record()
{
    return rc::gen::apply(
        [](std::uint64_t id, int service, std::uint32_t address,
           std::uint64_t incarnation, std::uint64_t sequence, int condition)
        {
            registered_upstream record;
            record.id = id;
            record.service = service_name(service);
            record.address = {0x0a000000 + address, 8080};
            record.data_centre = "a";
            record.incarnation = incarnation;
            record.sequence = sequence;
            record.condition = static_cast<upstream_condition>(condition);
            return record;
        },
        rc::gen::inRange<std::uint64_t>(1, identities + 1),
        rc::gen::inRange(0, 2), rc::gen::inRange<std::uint32_t>(1, 4),
        rc::gen::inRange<std::uint64_t>(1, 4),
        rc::gen::inRange<std::uint64_t>(1, 4), rc::gen::inRange(0, 4));
}

auto version_of(const registered_upstream& record)
{
    return std::tuple(record.incarnation, record.sequence, record.condition);
}

/// The newest record of each upstream.
using naive_pool = std::map<std::uint64_t, registered_upstream>;

void apply(naive_pool& model, const registered_upstream& record)
{
    const auto [known, added] = model.emplace(record.id, record);
    if (!added && version_of(record) >= version_of(known->second))
    {
        known->second = record;
    }
}

void check_service(upstream_pool& pool, const naive_pool& model,
                   const std::string& service, time_point now)
{
    std::set<std::uint64_t> expected;
    for (const auto& [id, record] : model)
    {
        if (record.service == service &&
            record.condition == upstream_condition::ready)
        {
            expected.insert(id);
        }
    }
    std::uint32_t candidates = 0;
    selection basis;
    const auto* chosen = pool.choose(service, {}, 1, now, candidates, basis);
    RC_ASSERT(candidates == expected.size());
    RC_ASSERT((chosen == nullptr) == expected.empty());
    RC_ASSERT(chosen == nullptr || expected.contains(chosen->record.id));
}

void check_identities(upstream_pool& pool, const naive_pool& model)
{
    RC_ASSERT(pool.size() == model.size());
    for (const auto& [id, record] : model)
    {
        const auto* known = pool.find(id);
        RC_ASSERT(known != nullptr);
        RC_ASSERT(known->record == record);
        const auto token = make_routing_token(id, record.incarnation);
        const auto* named = pool.find_by_token(token);
        RC_ASSERT(named == known);
    }
}

} // namespace

// Guards against an index of the pool that keeps an upstream under a former
// service, token or identity.
RC_GTEST_PROP(upstream_pool, keeps_its_indexes_consistent, ())
{
    const load_tracker tracker;
    upstream_pool pool(token_router_settings{}, tracker);
    naive_pool model;
    time_point now{1h};
    const auto records = *rc::gen::container<std::vector<registered_upstream>>(
        arbitrary_record());
    for (const auto& record : records)
    {
        pool.apply({record}, false, now);
        apply(model, record);
        check_identities(pool, model);
        check_service(pool, model, "desk", now);
        check_service(pool, model, "maps", now);
        now += 10ms;
    }
}

// Guards against an address that still leads to an upstream that has moved: the
// next one at that address would take the moved one out of use.
RC_GTEST_PROP(upstream_registry, keeps_addresses_consistent, ())
{
    coordination::upstream_registry registry;
    time_point now{1h};
    const auto records = *rc::gen::container<std::vector<registered_upstream>>(
        arbitrary_record());
    for (const auto& record : records)
    {
        registry.apply(record, now);
        now += 700ms;
        registry.expire(now);
        for (std::uint32_t last = 1; last < 4; ++last)
        {
            const transport::endpoint address{0x0a000000 + last, 8080};
            const auto holder = registry.holder_of(address);
            if (holder != 0)
            {
                RC_ASSERT(registry.find(holder) != nullptr);
                RC_ASSERT(registry.find(holder)->address == address);
            }
        }
        // Two upstreams that are present never share an address.
        std::set<transport::endpoint> held;
        for (std::uint64_t id = 1; id <= identities; ++id)
        {
            const auto* known = registry.find(id);
            const bool present =
                known != nullptr &&
                (known->condition == upstream_condition::ready ||
                 known->condition == upstream_condition::draining);
            const bool shares = present && !held.insert(known->address).second;
            RC_ASSERT(!shares);
        }
    }
}

// Guards against a heartbeat of an unknown service, or a late one of an earlier
// start, that takes a living upstream out of use.
TEST(upstream_registry, keeps_an_address_for_its_living_holder)
{
    coordination::upstream_registry registry;
    registered_upstream living;
    living.id = 1;
    living.service = "desk";
    living.address = {0x0a000001, 8080};
    living.incarnation = 20;
    living.sequence = 1;
    const time_point now{1h};
    registry.apply(living, now);
    auto other = living;
    other.id = 2;
    other.incarnation = 30;
    EXPECT_EQ(
        registry.apply(other, now, coordination::address_claim::free_only),
        coordination::update_outcome::stale);
    EXPECT_EQ(registry.find(1)->condition, upstream_condition::ready);
    other.incarnation = 10;
    EXPECT_EQ(registry.apply(other, now), coordination::update_outcome::stale);
    EXPECT_EQ(registry.find(1)->condition, upstream_condition::ready);
    other.incarnation = 30;
    EXPECT_EQ(registry.apply(other, now),
              coordination::update_outcome::changed);
    EXPECT_EQ(registry.find(1)->condition, upstream_condition::gone);
}

} // namespace boragestand::traffic
