#include "traffic/traffic.hpp"

#include <gtest/gtest.h>

namespace boragestand::traffic
{

namespace
{

using namespace std::chrono_literals;
using coordination::evidence_report;
using coordination::load_exchange;

constexpr time_point start{1h};
constexpr transport::endpoint first_entry{0x0a000001, 1};
constexpr transport::endpoint second_entry{0x0a000002, 1};
constexpr transport::endpoint other_control{0x0a000003, 1};

std::string report(std::uint64_t writer, std::uint64_t sequence,
                   std::uint32_t busy)
{
    return coordination::encode_evidence(
        {writer, sequence, {{7, busy, 10, 40, 2}}});
}

evidence_report aggregate_of(load_exchange& exchange, time_point now,
                             const transport::endpoint& receiver = first_entry)
{
    const auto text = exchange.make_aggregate(receiver, now);
    return text.empty() ? evidence_report{}
                        : *coordination::decode_evidence(text);
}

token_packet data(std::uint32_t sequence, std::uint32_t size,
                  std::uint32_t acknowledged)
{
    token_packet packet;
    packet.ack = true;
    packet.sequence = sequence;
    packet.data_size = size;
    packet.acknowledged = acknowledged;
    return packet;
}

} // namespace

// Guards against idle flows that count as load, and against requests on a flow
// that is kept open that do not.
TEST(load_tracker, counts_requests_and_not_flows)
{
    load_tracker tracker;
    tracker.take(start);
    request_progress flow;
    tracker.follow(flow, 7, data(100, 500, 1), start);
    EXPECT_EQ(tracker.in_progress(7), 1U);
    tracker.follow(flow, 7, data(600, 0, 3000), start + 50ms);
    EXPECT_EQ(tracker.in_progress(7), 0U);
    // The flow stays open and idle; the next request begins later.
    tracker.follow(flow, 7, data(600, 500, 3000), start + 500ms);
    tracker.follow(flow, 7, data(1100, 0, 6000), start + 600ms);
    const auto evidence = tracker.take(start + 1s);
    ASSERT_EQ(evidence.size(), 1U);
    EXPECT_EQ(evidence[0].answers, 2U);
    EXPECT_EQ(evidence[0].answer_ms, 75U);
    EXPECT_EQ(evidence[0].busy_percent, 15U);
    EXPECT_TRUE(tracker.take(start + 2s).empty());
}

// Guards against retransmissions that count as requests, and against an upload
// whose time counts from its first packet.
TEST(load_tracker, measures_from_the_last_new_data)
{
    load_tracker tracker;
    tracker.take(start);
    request_progress flow;
    tracker.follow(flow, 7, data(100, 1200, 1), start);
    tracker.follow(flow, 7, data(1300, 1200, 1), start + 300ms);
    tracker.follow(flow, 7, data(1300, 1200, 1), start + 350ms);
    tracker.follow(flow, 7, data(2500, 0, 300), start + 400ms);
    tracker.follow(flow, 7, data(1300, 1200, 300), start + 450ms);
    EXPECT_EQ(tracker.in_progress(7), 0U);
    const auto evidence = tracker.take(start + 1s);
    ASSERT_EQ(evidence.size(), 1U);
    EXPECT_EQ(evidence[0].answers, 1U);
    EXPECT_EQ(evidence[0].answer_ms, 100U);
}

// Guards against upstreams that never answer and are not noticed, and against
// one request that is reported twice.
TEST(load_tracker, reports_requests_without_an_answer_once)
{
    load_tracker tracker;
    tracker.take(start);
    request_progress hanging;
    tracker.follow(hanging, 7, data(100, 500, 1), start);
    tracker.check(hanging, 7, start + 999ms);
    tracker.check(hanging, 7, start + 1000ms);
    tracker.check(hanging, 7, start + 1200ms);
    tracker.end(hanging, 7, start + 2s);
    request_progress given_up;
    tracker.follow(given_up, 8, data(100, 500, 1), start);
    tracker.end(given_up, 8, start + 100ms);
    tracker.add_unanswered(9);
    auto evidence = tracker.take(start + 2s);
    ASSERT_EQ(evidence.size(), 3U);
    for (const auto& each : evidence)
    {
        EXPECT_EQ(each.unanswered, 1U) << each.token;
    }
}

// Guards against a report that is longer than an entry instance may send, and
// against losing the upstreams that matter.
TEST(load_evidence, is_bounded_and_keeps_failures)
{
    evidence_report large{1, 1, {}};
    for (std::uint32_t token = 1; token <= 3000; ++token)
    {
        large.upstreams.push_back(
            {0x10000000 + token, token % 200, 12, 50, token == 77 ? 3U : 0U});
    }
    const auto text = coordination::encode_evidence(large);
    EXPECT_LE(text.size(), coordination::max_evidence_bytes);
    const auto decoded = coordination::decode_evidence(text);
    ASSERT_TRUE(decoded);
    ASSERT_GT(decoded->upstreams.size(), 50U);
    EXPECT_EQ(decoded->upstreams[0].token, 0x10000000U + 77);
    EXPECT_FALSE(coordination::decode_evidence("\x93"));
}

// Guards against load that is counted twice, or not at all, on its way through
// two control instances.
TEST(load_exchange, sums_up_each_entry_instance_once)
{
    load_exchange here(1);
    load_exchange there(2);
    ASSERT_TRUE(here.take_entry_report(first_entry, report(1, 1, 50), start));
    ASSERT_TRUE(there.take_entry_report(second_entry, report(2, 1, 70), start));
    ASSERT_TRUE(here.take_control_sum(
        other_control, there.make_sum(first_entry, start), start));
    const auto aggregate = aggregate_of(here, start);
    ASSERT_EQ(aggregate.upstreams.size(), 1U);
    EXPECT_EQ(aggregate.upstreams[0].busy_percent, 120U);
    EXPECT_EQ(aggregate.upstreams[0].answers, 20U);
    EXPECT_EQ(aggregate.upstreams[0].answer_ms, 40U);
    // What came from there is not sent back.
    const auto sum =
        *coordination::decode_evidence(here.make_sum(other_control, start));
    EXPECT_EQ(sum.upstreams[0].busy_percent, 50U);
}

// Guards against late, repeated and outdated reports, and against a restarted
// writer whose reports are ignored because its numbers begin again.
TEST(load_exchange, uses_the_newest_report_of_each_writer)
{
    load_exchange exchange(1);
    exchange.take_entry_report(first_entry, report(1, 5, 50), start);
    exchange.take_entry_report(first_entry, report(1, 4, 90), start);
    EXPECT_EQ(aggregate_of(exchange, start).upstreams[0].busy_percent, 50U);
    exchange.take_entry_report(first_entry, report(2, 1, 30), start + 1s);
    EXPECT_EQ(aggregate_of(exchange, start + 1s).upstreams[0].busy_percent,
              30U);
    EXPECT_TRUE(
        aggregate_of(exchange, start + 5s, second_entry).upstreams.empty());
    EXPECT_FALSE(exchange.take_entry_report(first_entry, "nonsense", start));
}

// Guards against more than one aggregate a second for an instance.
TEST(load_exchange, sends_no_more_than_one_aggregate_a_second)
{
    load_exchange exchange(1);
    exchange.take_entry_report(first_entry, report(1, 5, 50), start);
    EXPECT_FALSE(exchange.make_aggregate(first_entry, start).empty());
    EXPECT_TRUE(exchange.make_aggregate(first_entry, start + 500ms).empty());
    EXPECT_FALSE(exchange.make_aggregate(second_entry, start + 500ms).empty());
    EXPECT_FALSE(exchange.make_aggregate(first_entry, start + 900ms).empty());
}

// Guards against a view that is used although nothing has confirmed it.
TEST(upstream_load, is_of_no_use_when_old)
{
    upstream_load view;
    EXPECT_FALSE(view.is_usable(start));
    view.apply({1, 1, {{7, 200, 10, 40, 0}}}, start);
    EXPECT_TRUE(view.is_usable(start + 3s));
    EXPECT_FALSE(view.is_usable(start + 4s));
    EXPECT_DOUBLE_EQ(view.of(7).busy, 2.0);
    // After a gap the former aggregate does not count any more.
    view.apply({1, 2, {{8, 100, 10, 40, 0}}}, start + 10s);
    EXPECT_EQ(view.find(7), nullptr);
}

} // namespace boragestand::traffic
