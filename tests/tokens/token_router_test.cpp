#include "token_router_fixture.hpp"

#include <rapidcheck/gtest.h>

#include <set>

namespace boragestand::traffic
{

// Guards against token collisions of upstreams whose identities and start times
// are close to each other.
TEST(routing_token, differs_for_upstreams_that_start_together)
{
    std::set<routing_token> tokens;
    for (std::uint64_t id = 1; id <= 32; ++id)
    {
        for (std::uint64_t started = 0; started < 32; ++started)
        {
            tokens.insert(make_routing_token(id, 1796380640000 + started));
        }
    }
    EXPECT_EQ(tokens.size(), 32U * 32U);
}

// Guards against routing that needs a flow record: after a change of the router
// rotation, another instance without the record receives the packets.
TEST_F(token_router_test, sends_a_packet_of_an_unknown_flow_by_its_token)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    auto late = packet(9);
    late.token = make_routing_token(2, 1000);
    const auto decision = forwarded(late);
    EXPECT_EQ(decision.upstream, 2U);
    EXPECT_EQ(decision.reason, forward_reason::by_token);
}

// Guards against packets that reach an upstream that did not open their flow.
TEST_F(token_router_test, drops_packets_without_a_usable_token)
{
    add({upstream(1, "desk")});
    EXPECT_EQ(dropped(packet(9)), token_drop_reason::no_token);
    auto guessed = packet(9);
    guessed.token = make_routing_token(1, 1000) + 1;
    EXPECT_EQ(dropped(guessed), token_drop_reason::unknown_token);
    auto forged = syn(9);
    forged.ack = true;
    EXPECT_EQ(dropped(forged), token_drop_reason::malformed_flags);
}

// Guards against a flow that is placed on an upstream of another service.
TEST_F(token_router_test, places_flows_on_their_own_service_only)
{
    add({upstream(1, "desk"), upstream(2, "maps")});
    for (std::uint16_t port = 1; port < 100; ++port)
    {
        EXPECT_EQ(forwarded(syn(port)).upstream, 1U);
        EXPECT_EQ(forwarded(syn(port, maps)).upstream, 2U);
    }
}

// Guards against a reset by an instance whose plan may be outdated.
TEST_F(token_router_test, resets_unknown_destinations_only_with_a_fresh_plan)
{
    const transport::endpoint unknown{0xc6120009, 1};
    EXPECT_TRUE(std::holds_alternative<reset_caller>(
        router_.decide(syn(1, unknown), now_)));
    now_ += 2s;
    EXPECT_EQ(dropped(syn(2, unknown)), token_drop_reason::no_plan);
}

// Guards against an update of the plan that leaves a removed route in force, or
// changes one that it does not name.
TEST_F(token_router_test, changes_only_the_routes_of_an_update)
{
    add({upstream(1, "desk"), upstream(2, "maps")});
    const auto moved =
        std::make_shared<state::service_route>(*router_.find_route(desk));
    moved->services = {{"maps", 1}};
    coordination::plan_update update;
    update.version = router_.plan_version() + 1;
    update.routes = {moved};
    EXPECT_TRUE(router_.apply(update));
    EXPECT_EQ(forwarded(syn(1)).upstream, 2U);
    EXPECT_EQ(forwarded(syn(2, maps)).upstream, 2U);
    update.routes.clear();
    update.removed = {maps};
    EXPECT_FALSE(router_.apply(update));
    ++update.version;
    EXPECT_TRUE(router_.apply(update));
    EXPECT_TRUE(std::holds_alternative<reset_caller>(
        router_.decide(syn(3, maps), now_)));
    EXPECT_EQ(forwarded(syn(4)).upstream, 2U);
}

// Guards against a newer plan that is replaced by an older version.
TEST_F(token_router_test, ignores_older_plans)
{
    EXPECT_TRUE(router_.apply(plan(5)));
    auto older = plan(4);
    older.routes.clear();
    EXPECT_FALSE(router_.apply(older));
    add({upstream(1, "desk")});
    EXPECT_EQ(forwarded(syn(1)).upstream, 1U);
}

// Guards against new flows on upstreams that leave, are gone or are lost.
TEST_F(token_router_test, places_nothing_on_upstreams_that_are_not_ready)
{
    for (const auto condition : {coordination::upstream_condition::draining,
                                 coordination::upstream_condition::lost,
                                 coordination::upstream_condition::gone})
    {
        auto leaving = upstream(1, "desk");
        leaving.sequence = 10 + static_cast<std::uint64_t>(condition);
        leaving.condition = condition;
        add({leaving, upstream(2, "desk")});
        for (std::uint16_t port = 1; port < 20; ++port)
        {
            EXPECT_EQ(forwarded(syn(port)).upstream, 2U);
        }
    }
}

// Guards against a flow that is cut off because its upstream is leaving.
TEST_F(token_router_test, keeps_flows_on_an_upstream_that_leaves)
{
    add({upstream(1, "desk")});
    const auto chosen = open(5);
    auto leaving = upstream(1, "desk");
    leaving.sequence = 2;
    leaving.condition = coordination::upstream_condition::draining;
    add({leaving, upstream(2, "desk")});
    auto next = packet(5);
    next.token = make_routing_token(1, 1000);
    EXPECT_EQ(forwarded(next).upstream, chosen);
}

// Guards against open flows that end with their route, which the check of a
// configuration says does not happen.
TEST_F(token_router_test, keeps_open_flows_of_a_removed_route)
{
    add({upstream(1, "desk")});
    const auto opened = forwarded(syn(40001));
    auto without_desk = plan(2);
    without_desk.routes.erase(without_desk.routes.begin());
    without_desk.services.erase(without_desk.services.begin());
    router_.apply(without_desk);
    router_.confirm_plan(now_);
    EXPECT_EQ(forwarded(packet(40001)).upstream, opened.upstream);
    auto elsewhere = packet(40002);
    elsewhere.token = opened.token;
    EXPECT_EQ(forwarded(elsewhere).upstream, opened.upstream);
    EXPECT_TRUE(
        std::holds_alternative<reset_caller>(router_.decide(syn(40003), now_)));
}

// Guards against imbalance: each new flow goes where fewest are open.
TEST_F(token_router_test, spreads_open_flows_evenly)
{
    add({upstream(1, "desk"), upstream(2, "desk"), upstream(3, "desk")});
    std::map<std::uint64_t, int> open_flows;
    for (std::uint16_t port = 1; port <= 30; ++port)
    {
        ++open_flows[open(port)];
    }
    for (const auto& [id, count] : open_flows)
    {
        EXPECT_EQ(count, 10) << id;
    }
}

// Guards against ended flows that still count as load of their upstream, which
// would then get no new ones.
TEST_F(token_router_test, counts_a_flow_until_its_caller_ends_it)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto first = open(1);
    auto fin = packet(1);
    fin.fin = true;
    forwarded(fin);
    std::set<std::uint64_t> next{open(2), open(3)};
    EXPECT_EQ(next.size(), 2U) << first;
}

// Guards against overload of a new upstream during its warm-up.
TEST_F(token_router_test, gives_less_to_an_upstream_that_is_warming_up)
{
    auto cold = upstream(2, "desk");
    cold.warmup_left_ms = 2000;
    add({upstream(1, "desk"), cold});
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        EXPECT_EQ(open(port), 1U);
    }
    now_ += 3s;
    EXPECT_EQ(open(4), 2U);
}

// Guards against retransmitted SYNs that go to the same unresponsive upstream.
TEST_F(token_router_test, sends_a_repeated_syn_to_another_upstream)
{
    add({upstream(1, "desk"), upstream(2, "desk"), upstream(3, "desk")});
    const auto first = forwarded(syn(1));
    now_ += 200ms;
    const auto second = forwarded(syn(1));
    EXPECT_NE(first.upstream, second.upstream);
    EXPECT_EQ(second.reason, forward_reason::placed_anew);
    now_ += 400ms;
    const auto third = forwarded(syn(1));
    EXPECT_NE(third.upstream, first.upstream);
    EXPECT_NE(third.upstream, second.upstream);
}

// Guards against a flow that moves when a delayed answer of the first upstream
// gives the caller another token.
TEST_F(token_router_test, stays_with_the_upstream_that_answered_first)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto first = forwarded(syn(1));
    now_ += 200ms;
    const auto second = forwarded(syn(1));
    auto opening = packet(1);
    opening.token = second.token;
    EXPECT_EQ(forwarded(opening).upstream, second.upstream);
    auto confused = packet(1);
    confused.token = first.token;
    EXPECT_EQ(forwarded(confused).upstream, second.upstream);
}

// Guards against a flow that follows this instance's choice although the
// caller's token says that another upstream has answered.
TEST_F(token_router_test, follows_the_token_of_the_first_packet)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto placed = forwarded(syn(1));
    const std::uint64_t other = placed.upstream == 1 ? 2 : 1;
    auto opening = packet(1);
    opening.token = make_routing_token(other, 1000);
    EXPECT_EQ(forwarded(opening).upstream, other);
}

// Guards against further flows that are placed on a failed upstream.
TEST_F(token_router_test, avoids_an_upstream_that_leaves_a_syn_unanswered)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto dead = forwarded(syn(1)).upstream;
    now_ += 50ms;
    for (std::uint16_t port = 10; port < 30; ++port)
    {
        EXPECT_NE(open(port), dead);
    }
}

// Guards against an instance with a backlog of packets that treats all
// upstreams whose answers it has not read yet as silent, and places every flow
// on the first upstream whose answer it has read.
TEST_F(token_router_test, takes_no_upstream_for_silent_while_it_is_behind)
{
    std::vector<coordination::registered_upstream> records;
    for (std::uint64_t id = 1; id <= 14; ++id)
    {
        records.push_back(upstream(id, "desk"));
    }
    add(records);
    std::vector<forward_packet> placed;
    for (std::uint16_t port = 1; port <= 14; ++port)
    {
        placed.push_back(forwarded(syn(port)));
    }
    now_ += 100ms;
    router_.report_backlog(now_);
    auto next = packet(1);
    next.token = placed.front().token;
    forwarded(next);
    std::size_t at_first = 0;
    for (std::uint16_t port = 101; port <= 128; ++port)
    {
        at_first +=
            forwarded(syn(port)).upstream == placed.front().upstream ? 1 : 0;
    }
    EXPECT_LE(at_first, 4U);
}

// Guards against an upstream that gets all flows, more than it can queue,
// because all others are suspects.
TEST_F(token_router_test, prefers_a_suspect_to_an_upstream_that_is_full)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto silent = forwarded(syn(1)).upstream;
    now_ += 300ms;
    std::size_t at_other = 0;
    for (std::uint16_t port = 101; port <= 160; ++port)
    {
        at_other += forwarded(syn(port)).upstream == silent ? 0 : 1;
    }
    EXPECT_LE(at_other, 45U);
    EXPECT_GE(at_other, 20U);
}

// Guards against an upstream that is excluded for good after one lost packet.
TEST_F(token_router_test, tries_a_silent_upstream_again)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto silent = forwarded(syn(1)).upstream;
    now_ += 200ms;
    forwarded(syn(1));
    now_ += 2s;
    router_.sweep(now_);
    std::set<std::uint64_t> used;
    for (std::uint16_t port = 10; port < 20; ++port)
    {
        used.insert(open(port));
    }
    EXPECT_TRUE(used.contains(silent));
}

// Guards against probing every upstream of an unreachable data centre in turn:
// only flows that arrive before the handshake limit of the second silent
// upstream, 60 ms, may be lost.
TEST_F(token_router_test, avoids_a_data_centre_that_is_silent)
{
    std::vector<coordination::registered_upstream> records;
    for (std::uint64_t id = 1; id <= 12; ++id)
    {
        records.push_back(upstream(id, "desk", id <= 2 ? "a" : "b"));
    }
    add(records);
    std::set<std::uint64_t> tried;
    for (std::uint16_t port = 1; port <= 60; ++port)
    {
        const auto placed = forwarded(syn(port));
        now_ += 20ms;
        if (placed.upstream > 2)
        {
            tried.insert(placed.upstream);
            continue;
        }
        auto next = packet(port);
        next.token = placed.token;
        forwarded(next);
    }
    EXPECT_LE(tried.size(), 4U);
}

// Guards against silently dropped packets with a token of a former incarnation:
// the upstream must get them, so that it can reset the flow.
TEST_F(token_router_test, sends_tokens_of_a_former_incarnation_on)
{
    add({upstream(1, "desk")});
    add({upstream(1, "desk", "a", 2000)});
    auto late = packet(3);
    late.token = make_routing_token(1, 1000);
    EXPECT_EQ(forwarded(late).upstream, 1U);
    now_ += 61s;
    router_.sweep(now_);
    EXPECT_EQ(dropped(late), token_drop_reason::unknown_token);
}

// Guards against an older record that overwrites a newer one when an instance
// switches to another control instance.
TEST_F(token_router_test, ignores_older_records)
{
    auto leaving = upstream(1, "desk");
    leaving.sequence = 5;
    leaving.condition = coordination::upstream_condition::draining;
    add({leaving, upstream(2, "desk")});
    add({upstream(1, "desk")});
    for (std::uint16_t port = 1; port < 10; ++port)
    {
        EXPECT_EQ(forwarded(syn(port)).upstream, 2U);
    }
}

// Guards against unbounded growth of the flow table.
TEST_F(token_router_test, forgets_flows_that_are_silent)
{
    add({upstream(1, "desk")});
    for (std::uint16_t port = 1; port <= 50; ++port)
    {
        open(port);
    }
    EXPECT_EQ(router_.flow_count(), 50U);
    now_ += 25s;
    router_.sweep(now_);
    EXPECT_EQ(router_.flow_count(), 0U);
}

// Guards against unbounded growth of the upstream pool, and against errors on
// packets of a flow whose upstream was removed.
TEST_F(token_router_test, forgets_upstreams_that_are_gone)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    open(1);
    open(2);
    auto gone = upstream(1, "desk");
    gone.sequence = 2;
    gone.condition = coordination::upstream_condition::gone;
    add({gone});
    for (int second = 0; second < 70; ++second)
    {
        now_ += 1s;
        for (const std::uint16_t port : {1, 2})
        {
            router_.decide(packet(port), now_);
        }
        router_.sweep(now_);
    }
    EXPECT_EQ(router_.upstream_count(), 1U);
    EXPECT_EQ(forwarded(syn(9)).upstream, 2U);
}

// Guards against flows that are not shared by the weights of their route.
TEST_F(token_router_test, shares_a_route_by_weight)
{
    auto weighted = plan(2);
    weighted.routes[0].services = {{"desk", 9}, {"maps", 1}};
    router_.apply(weighted);
    add({upstream(1, "desk"), upstream(2, "maps")});
    int to_maps = 0;
    for (std::uint16_t port = 1; port <= 2000; ++port)
    {
        to_maps += forwarded(syn(port)).upstream == 2 ? 1 : 0;
    }
    EXPECT_GT(to_maps, 140);
    EXPECT_LT(to_maps, 260);
}

// Guards against two instances that route a packet with the same token to
// different upstreams, whatever each of them has seen before.
RC_GTEST_PROP(token_router_property, routes_tokens_alike_everywhere,
              (const std::vector<std::uint8_t>& ports))
{
    std::vector<coordination::registered_upstream> records;
    for (std::uint64_t id = 1; id <= 20; ++id)
    {
        records.push_back(upstream(id, "desk"));
    }
    token_router first{token_router_settings{}};
    token_router second{token_router_settings{}};
    const time_point now{1h};
    first.apply(plan(1));
    first.apply(records, true, now);
    std::reverse(records.begin(), records.end());
    second.apply(records, true, now);
    for (const auto port : ports)
    {
        const auto placed =
            std::get<forward_packet>(first.decide(syn(port), now));
        auto next = packet(port);
        next.token = placed.token;
        const auto there = std::get<forward_packet>(second.decide(next, now));
        const auto here = std::get<forward_packet>(first.decide(next, now));
        RC_ASSERT(there.upstream == placed.upstream);
        RC_ASSERT(here.upstream == placed.upstream);
    }
}

// Guards against callers that are refused by a plan whose confirmation waited
// in a socket while the process was paused.
TEST_F(token_router_test, refuses_no_caller_by_an_outdated_confirmation)
{
    const auto unrouted = syn(1, {0xc6120003, 443});
    const auto is_reset = [&]
    {
        return std::holds_alternative<reset_caller>(
            router_.decide(unrouted, now_));
    };
    EXPECT_TRUE(is_reset());
    now_ += 10s;
    EXPECT_FALSE(is_reset());
    router_.confirm_plan(now_ - 2s);
    EXPECT_FALSE(is_reset());
    router_.confirm_plan(now_);
    EXPECT_TRUE(is_reset());
    router_.confirm_plan(now_ - 2s);
    EXPECT_TRUE(is_reset());
}

} // namespace boragestand::traffic
