#include "traffic/traffic.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace boragestand::traffic
{

namespace
{

using namespace std::chrono_literals;
using coordination::registered_upstream;
using coordination::warmup_granter;
using coordination::warmup_granter_settings;

constexpr time_point start{1h};
constexpr routing_token upstream = 7;

joined_load answering(double answer_ms)
{
    return {1.0, 10.0, answer_ms, 0.0};
}

/// Shares after each of some aggregates.
std::vector<double> shares(recovery_pace& pace, const joined_load& load,
                           int aggregates, double usual_ms = 50)
{
    std::vector<double> seen;
    for (int i = 1; i <= aggregates; ++i)
    {
        pace.step({upstream, 2}, load, usual_ms, start + i * 1s);
        seen.push_back(pace.share(upstream));
    }
    return seen;
}

registered_upstream cold_upstream(std::uint64_t id, std::uint32_t left_ms)
{
    registered_upstream record;
    record.id = id;
    record.service = "desk";
    record.incarnation = 1000;
    record.warmup_left_ms = left_ms;
    return record;
}

transport::endpoint entry(std::uint32_t number)
{
    return {0x0a000000 + number, 1};
}

std::vector<transport::endpoint> entries(std::uint32_t count)
{
    std::vector<transport::endpoint> list;
    for (std::uint32_t number = 1; number <= count; ++number)
    {
        list.push_back(entry(number));
    }
    return list;
}

} // namespace

// Guards against an upstream that is held back although it answers as fast as
// the others, for example after 2 s of a cold start.
TEST(recovery_pace, ends_soon_if_answers_are_as_fast_as_usual)
{
    recovery_pace pace;
    EXPECT_EQ(pace.share(upstream), 1.0);
    pace.begin(upstream, start);
    EXPECT_EQ(pace.share(upstream), 0.25);
    EXPECT_EQ(shares(pace, answering(60), 2), (std::vector{0.5, 1.0}));
    EXPECT_FALSE(pace.is_recovering(upstream));
}

// Guards against an upstream that is overloaded while it is five times as slow,
// or that claims to be warm and is not.
TEST(recovery_pace, holds_back_an_upstream_that_stays_slow)
{
    recovery_pace pace;
    pace.begin(upstream, start);
    EXPECT_EQ(shares(pace, answering(250), 3),
              (std::vector{0.125, 0.125, 0.125}));
    EXPECT_EQ(shares(pace, answering(50), 3), (std::vector{0.25, 0.5, 1.0}));
}

// Guards against an upstream that gets more although it fails.
TEST(recovery_pace, holds_back_an_upstream_that_fails)
{
    recovery_pace pace;
    pace.begin(upstream, start);
    auto failing = answering(20);
    failing.failing = 0.5;
    EXPECT_EQ(shares(pace, failing, 2), (std::vector{0.125, 0.125}));
}

// Guards against an upstream that stays idle for ever because it gets too
// little to show how it answers.
TEST(recovery_pace, grows_without_traffic)
{
    recovery_pace pace;
    pace.begin(upstream, start);
    EXPECT_EQ(shares(pace, {}, 3), (std::vector{0.25, 0.5, 1.0}));
}

// Guards against a cold upstream that is never found fast because there is no
// warm one to compare it with.
TEST(recovery_pace, ends_without_a_warm_upstream)
{
    recovery_pace pace;
    pace.begin(upstream, start);
    EXPECT_EQ(shares(pace, answering(250), 2, 0), (std::vector{0.5, 1.0}));
}

// Guards against more new requests than the bound allows in any second, in sum
// over all entry instances, whatever the control instances do: an upstream
// changes its control instance, grants are renewed at any time, entry instances
// come and go.
RC_GTEST_PROP(warmup_granter, keeps_the_bound_over_all_instances, ())
{
    const auto rate = *rc::gen::inRange<std::uint32_t>(1000, 60000);
    const warmup_granter_settings settings{1.5, 5.0};
    const double bound = rate / 1000.0 * settings.overrun + settings.slack;
    std::array<warmup_granter, 2> granters{
        warmup_granter(settings, start - 10s),
        warmup_granter(settings, start - 10s)};
    struct holder
    {
        token_bucket requests;
        time_point until;
    };
    std::map<std::pair<std::uint32_t, std::size_t>, holder> holders;
    std::deque<time_point> sent;
    const auto changes_at = start + *rc::gen::inRange(0, 3000) * 1ms;
    for (auto now = start; now < start + 4s; now += 10ms)
    {
        const std::size_t hears = now < changes_at ? 0 : 1;
        const auto passed = now - start;
        if (passed % 1200ms == duration(0) || now == changes_at)
        {
            granters[hears].observe(cold_upstream(1, 20000), rate, now);
        }
        for (std::uint32_t number = 1; number <= 8; ++number)
        {
            // Each entry instance asks one control instance twice a second.
            const std::size_t source = number % 2;
            if ((passed + number * 70ms) % 500ms == duration(0))
            {
                const auto known = *rc::gen::inRange<std::uint32_t>(4, 9);
                for (const auto& grant : granters[source].grants_for(
                         entry(number), entries(known), now))
                {
                    auto& held =
                        holders
                            .try_emplace(
                                {number, source},
                                holder{{grant.requests_per_1000_s / 1000.0,
                                        double(grant.burst)},
                                       now})
                            .first->second;
                    held.until =
                        now + std::chrono::milliseconds(grant.lifetime_ms);
                }
            }
            for (std::size_t source_of = 0; source_of < 2; ++source_of)
            {
                const auto held = holders.find({number, source_of});
                // Sends as much as it may.
                while (held != holders.end() && now < held->second.until &&
                       held->second.requests.take(1.0, now))
                {
                    sent.push_back(now);
                }
            }
        }
        while (!sent.empty() && now - sent.front() >= 1s)
        {
            sent.pop_front();
        }
        RC_ASSERT(static_cast<double>(sent.size()) <= bound);
    }
}

// Guards against a rate that nobody may use.
TEST(warmup_granter, grants_most_of_its_half_of_the_bound)
{
    warmup_granter granter({1.5, 5.0}, start - 10s);
    granter.observe(cold_upstream(1, 2000), 20000, start);
    double granted = 0;
    for (std::uint32_t number = 1; number <= 8; ++number)
    {
        for (const auto& grant :
             granter.grants_for(entry(number), entries(8), start))
        {
            granted += grant.requests_per_1000_s / 1000.0;
        }
    }
    EXPECT_GT(granted, 10.0);
    EXPECT_LE(granted, 17.5);
}

// Guards against grants for an upstream that is warm, unlimited or reports to
// another control instance, and against grants right after a restart, when
// those of the former run may still be in use.
TEST(warmup_granter, grants_nothing_without_a_reason)
{
    warmup_granter granter({1.5, 5.0}, start);
    granter.observe(cold_upstream(1, 20000), 20000, start + 2s);
    EXPECT_TRUE(
        granter.grants_for(entry(1), entries(1), start + 2900ms).empty());
    granter.observe(cold_upstream(1, 20000), 20000, start + 3s);
    EXPECT_EQ(granter.grants_for(entry(1), entries(1), start + 3s).size(), 1U);
    EXPECT_TRUE(
        granter.grants_for(entry(1), entries(1), start + 4600ms).empty());
    granter.observe(cold_upstream(2, 0), 20000, start + 5s);
    granter.observe(cold_upstream(3, 2000), 0, start + 5s);
    EXPECT_TRUE(granter.grants_for(entry(1), entries(1), start + 5s).empty());
}

// Guards against more holders than the bound allows after a lost heartbeat, a
// lower rate, or other entry instances.
TEST(warmup_granter, counts_holders_until_their_grants_have_run_out)
{
    warmup_granter granter({1.5, 5.0}, start - 10s);
    granter.observe(cold_upstream(1, 20000), 20000, start);
    const auto count_holders = [&](std::uint32_t first, time_point now)
    {
        auto known = entries(8);
        for (auto& each : known)
        {
            each.address += first - 1;
        }
        std::size_t count = 0;
        for (const auto& each : known)
        {
            count += granter.grants_for(each, known, now).size();
        }
        return count;
    };
    EXPECT_EQ(count_holders(1, start + 1400ms), 4U);
    EXPECT_EQ(count_holders(1, start + 2s), 0U);
    granter.observe(cold_upstream(1, 20000), 20000, start + 2400ms);
    EXPECT_EQ(count_holders(101, start + 2400ms), 0U);
    EXPECT_EQ(count_holders(1, start + 2400ms), 4U);
    granter.observe(cold_upstream(1, 20000), 2000, start + 2500ms);
    EXPECT_EQ(count_holders(1, start + 2500ms), 1U);
    // A rate that allows less than one request at once.
    warmup_granter strict({1.0, 0.0}, start - 10s);
    strict.observe(cold_upstream(1, 20000), 1000, start);
    EXPECT_TRUE(strict.grants_for(entry(1), entries(1), start).empty());
}

// Guards against a slow start that begins anew with each record of an upstream
// that stays cold, and against former starts that are remembered for ever.
TEST(slow_start, begins_once_for_each_start)
{
    token_router_settings settings;
    settings.joins_load = true;
    const load_tracker tracker;
    upstream_pool pool(settings, tracker);
    auto record = cold_upstream(1, 60000);
    record.sequence = 1;
    pool.apply({record}, false, start);
    EXPECT_EQ(pool.load_summary_at(start).recovering, 1U);
    pool.apply(coordination::evidence_report{1, 1, {}}, start + 2s);
    pool.apply(coordination::evidence_report{1, 2, {}}, start + 3s);
    EXPECT_EQ(pool.load_summary_at(start).recovering, 0U);
    record.sequence = 2;
    pool.apply({record}, false, start + 4s);
    EXPECT_EQ(pool.load_summary_at(start).recovering, 0U);
    record.incarnation = 2000;
    pool.apply({record}, false, start + 5s);
    record.incarnation = 3000;
    pool.apply({record}, false, start + 6s);
    EXPECT_EQ(pool.load_summary_at(start).recovering, 1U);
}

} // namespace boragestand::traffic
