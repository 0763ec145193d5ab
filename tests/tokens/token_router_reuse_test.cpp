#include "token_router_fixture.hpp"

namespace boragestand::traffic
{

// Guards against open flows that reach the upstream of a former flow between
// the same ends: the caller uses its port again, and the new SYN passed another
// instance, for example during a planned stop.
TEST_F(token_router_test, does_not_take_a_new_flow_for_a_former_one)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto former = open(1);
    const std::uint64_t next = former == 1 ? 2 : 1;
    auto data = packet(1);
    data.ack = true;
    data.sequence = 0x50000000;
    data.token = make_routing_token(next, 1000);
    EXPECT_EQ(forwarded(data).upstream, next);
    auto fin = packet(1);
    fin.fin = true;
    fin.token = make_routing_token(former, 1000);
    EXPECT_EQ(forwarded(fin).upstream, former);
    // Sequence numbers that are close by chance.
    data.sequence = 8;
    EXPECT_EQ(forwarded(data).upstream, next);
}

// Guards against a flow that is ended by its late answers: the token of the
// second upstream that got its SYN must not move it, even while it closes.
TEST_F(token_router_test, keeps_a_closing_flow_where_it_was)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto first = forwarded(syn(1));
    now_ += 200ms;
    const auto second = forwarded(syn(1));
    auto opening = packet(1);
    opening.token = second.token;
    forwarded(opening);
    auto fin = packet(1);
    fin.fin = true;
    fin.token = first.token;
    EXPECT_EQ(forwarded(fin).upstream, second.upstream);
    EXPECT_EQ(forwarded(fin).upstream, second.upstream);
}

// Guards against new flows of a former service, and a look-up that ends the
// process, after an identity returned with another service.
TEST_F(token_router_test, moves_an_identity_to_its_new_service)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    const auto kept = open(1);
    auto returned = upstream(kept, "maps", "a", 2000);
    add({returned});
    for (std::uint16_t port = 10; port < 20; ++port)
    {
        EXPECT_NE(forwarded(syn(port)).upstream, kept);
        EXPECT_EQ(forwarded(syn(port, maps)).upstream, kept);
    }
    // Neither its former flows nor their tokens lead to the other service.
    auto late = packet(1);
    late.token = make_routing_token(kept, 1000);
    EXPECT_EQ(dropped(late), token_drop_reason::unknown_token);
    returned.sequence = 2;
    returned.condition = coordination::upstream_condition::gone;
    add({returned});
    now_ += 61s;
    router_.sweep(now_);
    EXPECT_NE(forwarded(syn(30)).upstream, kept);
    EXPECT_EQ(router_.upstream_count(), 1U);
}

// Guards against upstreams that crashed without a leave and cost memory for
// ever.
TEST_F(token_router_test, forgets_upstreams_that_stay_lost)
{
    add({upstream(1, "desk"), upstream(2, "desk")});
    auto crashed = upstream(1, "desk");
    crashed.condition = coordination::upstream_condition::lost;
    add({crashed});
    router_.apply({upstream(1, "desk")}, true, now_);
    now_ += 61s;
    router_.sweep(now_);
    EXPECT_EQ(router_.upstream_count(), 0U);
}

// Guards against a request that counts as load for ever because its upstream
// has restarted before it answered.
TEST_F(token_router_test, ends_requests_of_a_former_incarnation)
{
    auto joining = settings();
    joining.joins_load = true;
    token_router router(joining);
    router.apply(plan(1));
    router.apply({upstream(1, "desk")}, false, now_);
    router.decide(syn(1), now_);
    auto request = packet(1);
    request.ack = true;
    request.sequence = 8;
    request.data_size = 500;
    router.decide(request, now_);
    router.apply({upstream(1, "desk", "a", 2000)}, false, now_);
    router.decide(syn(1), now_);
    now_ += 1s;
    EXPECT_FALSE(router.take_evidence(now_).empty());
    now_ += 1s;
    EXPECT_TRUE(router.take_evidence(now_).empty());
}

// Guards against a request that counts as load for ever because its caller uses
// the port again, and against a caller that sends no more and counts as failed.
TEST_F(token_router_test, ends_a_request_with_its_flow)
{
    auto joining = settings();
    joining.joins_load = true;
    token_router router(joining);
    router.apply(plan(1));
    router.apply({upstream(1, "desk")}, false, now_);
    router.decide(syn(1), now_);
    auto request = packet(1);
    request.ack = true;
    request.sequence = 8;
    request.data_size = 500;
    request.acknowledged = 1;
    request.fin = true;
    router.decide(request, now_);
    auto answer = packet(1);
    answer.ack = true;
    answer.sequence = 509;
    answer.acknowledged = 4000;
    router.decide(answer, now_ + 50ms);
    auto evidence = router.take_evidence(now_ + 1s);
    ASSERT_EQ(evidence.size(), 1U);
    EXPECT_EQ(evidence[0].answers, 1U);
    EXPECT_EQ(evidence[0].unanswered, 0U);
    router.decide(syn(2), now_ + 1s);
    request.flow = packet(2).flow;
    request.fin = false;
    router.decide(request, now_ + 1s);
    auto next = syn(2);
    next.sequence = 70000;
    router.decide(next, now_ + 1s);
    EXPECT_FALSE(router.take_evidence(now_ + 2s).empty());
    EXPECT_TRUE(router.take_evidence(now_ + 3s).empty());
}

} // namespace boragestand::traffic
