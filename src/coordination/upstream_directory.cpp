#include "coordination/upstream_directory.hpp"

#include <algorithm>
#include <tuple>

namespace boragestand::coordination
{

namespace
{

duration milliseconds_of(std::uint32_t value)
{
    return std::chrono::milliseconds(value);
}

bool newer(const protocol::upstream_record& left,
           const protocol::upstream_record& right)
{
    return std::tie(left.incarnation, left.sequence) >
           std::tie(right.incarnation, right.sequence);
}

} // namespace

bool upstream_directory::apply(const protocol::upstream_record& record,
                               time_point now)
{
    const auto found = entries_.find(record.upstream);
    const time_point lease_end = now + milliseconds_of(record.lease_ms);
    if (found == entries_.end())
    {
        entries_.emplace(record.upstream, entry{record, lease_end, now});
        return true;
    }
    entry& stored = found->second;
    if (!newer(record, stored.record))
    {
        return false;
    }
    // Only a restart begins a new warm-up; an expired lease does not.
    if (record.incarnation != stored.record.incarnation)
    {
        stored.warmup_start = now;
    }
    stored.record = record;
    stored.lease_end = lease_end;
    return true;
}

void upstream_directory::apply(std::vector<state::upstream_override> overrides)
{
    overrides_ = std::move(overrides);
}

std::vector<ready_upstream> upstream_directory::ready(time_point now) const
{
    std::vector<ready_upstream> found;
    for (const auto& [id, stored] : entries_)
    {
        if (stored.lease_end <= now ||
            stored.record.state != protocol::upstream_state::ready)
        {
            continue;
        }
        const std::uint16_t weight = weight_of(stored, now);
        if (weight > 0)
        {
            found.push_back({&stored.record, weight});
        }
    }
    return found;
}

time_point upstream_directory::next_change(time_point now) const
{
    time_point next = time_point::max();
    for (const auto& [id, stored] : entries_)
    {
        if (stored.lease_end > now)
        {
            next = std::min(
                {next, stored.lease_end, next_warmup_step(stored, now)});
        }
    }
    return next;
}

const protocol::upstream_record*
upstream_directory::find(upstream_id upstream) const
{
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<protocol::upstream_record>
upstream_directory::records(time_point now) const
{
    std::vector<protocol::upstream_record> found;
    for (const auto& [id, stored] : entries_)
    {
        if (stored.lease_end > now)
        {
            found.push_back(stored.record);
        }
    }
    return found;
}

void upstream_directory::forget_old(time_point now)
{
    std::erase_if(entries_, [now](const auto& item)
                  { return item.second.lease_end + address_retention <= now; });
}

const state::upstream_override*
upstream_directory::override_of(const std::string& name) const
{
    const auto found =
        std::find_if(overrides_.begin(), overrides_.end(),
                     [&name](const state::upstream_override& candidate)
                     { return candidate.upstream == name; });
    return found == overrides_.end() ? nullptr : &*found;
}

std::uint16_t upstream_directory::weight_of(const entry& stored,
                                            time_point now) const
{
    const auto* changed = override_of(stored.record.name);
    if (changed != nullptr && changed->drain)
    {
        return 0;
    }
    const std::uint16_t full = changed != nullptr && changed->weight
                                   ? *changed->weight
                                   : stored.record.weight;
    const duration warmup = milliseconds_of(stored.record.warmup_ms);
    const duration passed = now - stored.warmup_start;
    if (full == 0 || passed >= warmup)
    {
        return full;
    }
    const auto step = 1 + passed * warmup_steps / warmup;
    const auto weight = static_cast<std::uint16_t>(full * step / warmup_steps);
    return std::max<std::uint16_t>(weight, 1);
}

time_point upstream_directory::next_warmup_step(const entry& stored,
                                                time_point now)
{
    const duration warmup = milliseconds_of(stored.record.warmup_ms);
    const duration passed = now - stored.warmup_start;
    if (passed >= warmup)
    {
        return time_point::max();
    }
    const auto step = 1 + passed * warmup_steps / warmup;
    // Rounded up, so that the step has been taken at the returned time.
    return stored.warmup_start +
           (warmup * step + duration(warmup_steps - 1)) / warmup_steps;
}

} // namespace boragestand::coordination
