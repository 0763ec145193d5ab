#include "coordination/warmup_granter.hpp"

#include <algorithm>
#include <cmath>

namespace boragestand::coordination
{

namespace
{

// Two control instances may grant the rate of one upstream at a time.
constexpr double granters = 2.0;

// A part of less than this many requests a second is not worth a holder, since
// each holder takes one request at once.
constexpr double min_part = 3.0;
constexpr std::size_t max_holders = 4;

constexpr double thousand = 1000.0;

std::uint64_t to_integer(const transport::endpoint& value)
{
    return std::uint64_t{value.address} << 16 | value.port;
}

} // namespace

void warmup_granter::observe(const registered_upstream& record,
                             std::uint32_t requests_per_1000_s, time_point now)
{
    const bool cold = record.condition == upstream_condition::ready &&
                      record.warmup_left_ms > 0 && requests_per_1000_s > 0;
    const auto known = upstreams_.find(record.id);
    if (!cold)
    {
        // The holders' grants are still valid.
        if (known != upstreams_.end())
        {
            known->second.cold_until = now;
        }
        return;
    }
    auto& target = upstreams_[record.id];
    if (target.incarnation != record.incarnation)
    {
        target = {};
        target.incarnation = record.incarnation;
    }
    target.rate = requests_per_1000_s / thousand;
    target.heard_at = now;
    target.cold_until = now + std::chrono::milliseconds(record.warmup_left_ms);
}

double warmup_granter::budget(const cold_upstream& upstream) const
{
    return (upstream.rate * settings_.overrun + settings_.slack) / granters;
}

std::size_t warmup_granter::holder_count(const cold_upstream& upstream) const
{
    const double available = budget(upstream);
    if (available < 1.0)
    {
        return 0;
    }
    const auto parts = static_cast<std::size_t>(available / min_part);
    return std::clamp<std::size_t>(parts, 1, max_holders);
}

bool warmup_granter::may_hold(
    std::uint64_t id, const cold_upstream& upstream,
    const transport::endpoint& entry,
    const std::vector<transport::endpoint>& entries) const
{
    const auto count = holder_count(upstream);
    const auto& holders = upstream.holders;
    if (holders.contains(entry))
    {
        // Fewer may hold a part once the rate has been lowered.
        const auto position =
            std::distance(holders.begin(), holders.find(entry));
        return static_cast<std::size_t>(position) < count;
    }
    if (holders.size() >= count)
    {
        return false;
    }
    const auto score = [id](const transport::endpoint& each)
    {
        return mix_hashes(id, to_integer(each));
    };
    const auto before = std::count_if(entries.begin(), entries.end(),
                                      [&](const auto& each)
                                      { return score(each) > score(entry); });
    return static_cast<std::size_t>(before) < count;
}

void warmup_granter::expire(time_point now)
{
    for (auto it = upstreams_.begin(); it != upstreams_.end();)
    {
        auto& holders = it->second.holders;
        std::erase_if(holders,
                      [now](const auto& each) { return each.second <= now; });
        const bool done = holders.empty() && !is_granted(it->second, now);
        it = done ? upstreams_.erase(it) : std::next(it);
    }
}

bool warmup_granter::is_granted(const cold_upstream& upstream,
                                time_point now) const
{
    return now < upstream.cold_until &&
           now - upstream.heard_at <= settings_.lifetime;
}

std::vector<warmup_grant>
warmup_granter::grants_for(const transport::endpoint& entry,
                           const std::vector<transport::endpoint>& entries,
                           time_point now)
{
    expire(now);
    std::vector<warmup_grant> grants;
    if (now < grants_from_)
    {
        return grants;
    }
    for (auto& [id, upstream] : upstreams_)
    {
        if (!is_granted(upstream, now) ||
            !may_hold(id, upstream, entry, entries))
        {
            continue;
        }
        // The grant counts from its receipt, which may be late by as much.
        upstream.holders[entry] = now + 2 * settings_.lifetime;
        const auto count = static_cast<double>(holder_count(upstream));
        const double rate = (budget(upstream) - count) / count;
        grants.push_back(
            {id, upstream.incarnation,
             static_cast<std::uint32_t>(std::max(rate, 0.0) * thousand), 1,
             static_cast<std::uint32_t>(
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     settings_.lifetime)
                     .count())});
    }
    return grants;
}

} // namespace boragestand::coordination
