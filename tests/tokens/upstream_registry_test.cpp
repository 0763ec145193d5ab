#include "coordination/coordination.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace boragestand::coordination
{

namespace
{

using namespace std::chrono_literals;

registered_upstream
record(std::uint64_t id, std::uint64_t incarnation, std::uint64_t sequence,
       upstream_condition condition = upstream_condition::ready)
{
    registered_upstream value;
    value.id = id;
    value.service = "desk";
    value.address = {0x0a000000 + static_cast<std::uint32_t>(id), 8080};
    value.data_centre = "a";
    value.incarnation = incarnation;
    value.sequence = sequence;
    value.condition = condition;
    return value;
}

bool is_same(const registered_upstream* left, const registered_upstream* right)
{
    if (left == nullptr || right == nullptr)
    {
        return left == right;
    }
    return left->incarnation == right->incarnation &&
           left->sequence == right->sequence &&
           left->condition == right->condition;
}

class upstream_registry_test : public testing::Test
{
protected:
    update_outcome apply(const registered_upstream& value)
    {
        return registry_.apply(value, now_);
    }

    /// Advances the time, calling expire() each half second; returns the
    /// upstreams that became lost.
    std::vector<std::uint64_t> pass(duration time)
    {
        std::vector<std::uint64_t> lost;
        for (const auto end = now_ + time; now_ < end;)
        {
            now_ += 500ms;
            const auto more = registry_.expire(now_);
            lost.insert(lost.end(), more.begin(), more.end());
        }
        return lost;
    }

    upstream_condition condition(std::uint64_t id) const
    {
        return registry_.find(id)->condition;
    }

    time_point now_{1h};
    upstream_registry registry_;
};

} // namespace

// Guards against a delayed heartbeat that overwrites a newer one.
TEST_F(upstream_registry_test, ignores_late_heartbeats)
{
    EXPECT_EQ(apply(record(1, 10, 5, upstream_condition::draining)),
              update_outcome::changed);
    EXPECT_EQ(apply(record(1, 10, 4)), update_outcome::stale);
    EXPECT_EQ(condition(1), upstream_condition::draining);
}

// Guards against a restarted upstream that is ignored because its sequence
// numbers start again under the same identity.
TEST_F(upstream_registry_test, takes_a_new_incarnation_with_a_lower_sequence)
{
    apply(record(1, 10, 50, upstream_condition::draining));
    EXPECT_EQ(apply(record(1, 20, 1)), update_outcome::changed);
    EXPECT_EQ(condition(1), upstream_condition::ready);
    EXPECT_EQ(apply(record(1, 10, 51)), update_outcome::stale);
}

// Guards against counting each heartbeat as a change, which would be propagated
// to all instances.
TEST_F(upstream_registry_test, counts_only_news_as_changes)
{
    apply(record(1, 10, 1));
    const auto before = registry_.cursor();
    EXPECT_EQ(apply(record(1, 10, 2)), update_outcome::refreshed);
    EXPECT_EQ(registry_.cursor(), before);
}

// Guards against a delayed heartbeat that revives an upstream that has left.
TEST_F(upstream_registry_test, keeps_an_upstream_that_left_gone)
{
    apply(record(1, 10, 1));
    EXPECT_EQ(registry_.mark_gone(1, 10, now_), update_outcome::changed);
    EXPECT_EQ(apply(record(1, 10, 9)), update_outcome::stale);
    EXPECT_EQ(condition(1), upstream_condition::gone);
    EXPECT_EQ(apply(record(1, 11, 1)), update_outcome::changed);
}

// Guards against a leave of a former incarnation that removes the current one.
TEST_F(upstream_registry_test, ignores_the_leave_of_a_former_incarnation)
{
    apply(record(1, 20, 1));
    EXPECT_EQ(registry_.mark_gone(1, 10, now_), update_outcome::stale);
    EXPECT_EQ(condition(1), upstream_condition::ready);
}

// Guards against flows to an address that now belongs to another upstream.
TEST_F(upstream_registry_test, gives_an_address_to_the_latest_upstream)
{
    apply(record(1, 10, 1));
    auto successor = record(2, 20, 1);
    successor.address = record(1, 10, 1).address;
    EXPECT_EQ(apply(successor), update_outcome::changed);
    EXPECT_EQ(condition(1), upstream_condition::gone);
    EXPECT_EQ(apply(record(1, 10, 2)), update_outcome::stale);
    EXPECT_EQ(condition(2), upstream_condition::ready);
}

// Guards against a heartbeat, delayed by a partition, from an upstream unknown
// here whose address has since been given to another one.
TEST_F(upstream_registry_test, refuses_an_address_to_an_earlier_upstream)
{
    auto present = record(2, 20, 1);
    present.address = record(1, 10, 1).address;
    apply(present);
    EXPECT_EQ(apply(record(1, 10, 1)), update_outcome::stale);
    EXPECT_EQ(registry_.find(1), nullptr);
}

// Guards against upstreams that crash without a leave and stay registered.
TEST_F(upstream_registry_test, loses_an_upstream_without_heartbeats)
{
    apply(record(1, 10, 1));
    EXPECT_TRUE(pass(3s).empty());
    EXPECT_EQ(pass(1s), std::vector<std::uint64_t>{1});
    EXPECT_EQ(condition(1), upstream_condition::lost);
    EXPECT_EQ(apply(record(1, 10, 2)), update_outcome::changed);
    EXPECT_EQ(condition(1), upstream_condition::ready);
}

// Guards against an instance that, after it was frozen, marks all upstreams as
// lost and propagates that.
TEST_F(upstream_registry_test, counts_no_silence_while_it_was_frozen)
{
    apply(record(1, 10, 1));
    registry_.expire(now_);
    now_ += 7s;
    EXPECT_TRUE(registry_.expire(now_).empty());
    for (int tick = 0; tick < 35; ++tick)
    {
        now_ += 100ms;
        EXPECT_TRUE(registry_.expire(now_).empty());
    }
    now_ += 200ms;
    EXPECT_EQ(registry_.expire(now_).size(), 1U);
}

// Guards against an upstream that is marked as lost although another instance
// receives its heartbeats, or that returns as ready although it is draining.
TEST_F(upstream_registry_test, takes_signs_of_life_from_other_instances)
{
    apply(record(1, 10, 1, upstream_condition::draining));
    EXPECT_TRUE(pass(3s).empty());
    registry_.apply(upstream_refresh{1, 10, 2}, now_);
    EXPECT_TRUE(pass(3s).empty());
    EXPECT_EQ(pass(3s).size(), 1U);
    EXPECT_EQ(registry_.apply(upstream_refresh{1, 10, 3}, now_),
              update_outcome::changed);
    EXPECT_EQ(condition(1), upstream_condition::draining);
}

// Guards against a warm-up that starts again at each instance that receives the
// record.
TEST_F(upstream_registry_test, tells_what_is_left_of_the_warm_up)
{
    auto cold = record(1, 10, 1);
    cold.warmup_left_ms = 2000;
    apply(cold);
    const auto changes = registry_.changes_since(0, now_ + 500ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].warmup_left_ms, 1500U);
}

// Guards against instances that diverge after they received the same records in
// another order or more than once.
RC_GTEST_PROP(upstream_registry_property, agrees_in_any_order,
              (const std::vector<std::uint8_t>& choices))
{
    std::vector<registered_upstream> records;
    for (const std::uint8_t choice : choices)
    {
        const std::uint64_t sequence = 1 + choice % 8;
        const auto condition = sequence % 3 == 0 ? upstream_condition::draining
                                                 : upstream_condition::ready;
        records.push_back(record(1 + choice / 16 % 2, 10 + choice / 32 % 2,
                                 sequence, condition));
    }
    const time_point now{1h};
    upstream_registry first;
    upstream_registry second;
    for (const auto& each : records)
    {
        first.apply(each, now);
    }
    std::sort(records.begin(), records.end());
    for (int turn = 0; turn < 2; ++turn)
    {
        for (const auto& each : records)
        {
            second.apply(each, now);
        }
    }
    RC_ASSERT(is_same(first.find(1), second.find(1)));
    RC_ASSERT(is_same(first.find(2), second.find(2)));
}

// Guards against fields lost in encoding and against crashes of the decoder on
// truncated messages.
TEST(directory_messages, survive_encoding_and_refuse_damage)
{
    directory_reply reply;
    reply.epoch = 5;
    reply.current = true;
    reply.upstreams = {record(1, 10, 1)};
    reply.refreshes = {{1, 10, 2}};
    reply.plan = state::routing_plan{};
    reply.plan->version = 3;
    reply.controls = {{1, 2}};
    reply.has_more = true;
    const auto text = encode_message(reply);
    const auto decoded = decode_directory_reply(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, reply);
    for (std::size_t length = 0; length < text.size(); ++length)
    {
        EXPECT_FALSE(decode_directory_reply(text.substr(0, length)));
    }
    EXPECT_FALSE(decode_directory_request(text));
}

// Guards against pages of changes that leave out records: they come in the
// order of their changes, so that a page ends at a cursor.
TEST(upstream_registry_pages, hold_each_change_once_and_in_order)
{
    upstream_registry registry;
    const time_point now{std::chrono::hours(1)};
    for (std::uint64_t id = 20; id > 0; --id)
    {
        registered_upstream record;
        record.id = id;
        record.service = "desk";
        record.address = {static_cast<std::uint32_t>(id), 80};
        record.incarnation = 1;
        record.sequence = 1;
        registry.apply(record, now);
    }
    std::vector<std::uint64_t> ids;
    std::uint64_t cursor = 0;
    while (cursor < registry.cursor())
    {
        const auto page = registry.changes_since(cursor, now, 6);
        ASSERT_FALSE(page.empty());
        ASSERT_LE(page.size(), 6U);
        for (const auto& record : page)
        {
            ids.push_back(record.id);
        }
        cursor = registry.last_change(page.back().id);
    }
    ASSERT_EQ(ids.size(), 20U);
    EXPECT_EQ(ids.front(), 20U);
    EXPECT_EQ(ids.back(), 1U);
}

} // namespace boragestand::coordination
