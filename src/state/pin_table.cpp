#include "state/pin_table.hpp"

#include <algorithm>

namespace boragestand::state
{

namespace
{

/// How long the pins of a restarted sender are kept for its old flows.
constexpr duration restart_expiry = std::chrono::seconds(300);
/// Incarnations start at the start time of the process in milliseconds. A
/// refutation raises the incarnation by 1, a restart by at least this much.
constexpr std::uint64_t restart_gap = 1000;
/// Largest number of out-of-order batches tracked for one sender.
constexpr std::size_t max_out_of_order = 1024;

} // namespace

bool pin_table::mark_applied(sender_pins& sender, std::uint32_t sequence)
{
    if (sequence < sender.applied_below || sender.applied.contains(sequence))
    {
        return false;
    }
    sender.applied.insert(sequence);
    while (sender.applied.contains(sender.applied_below) ||
           sender.applied.size() > max_out_of_order)
    {
        sender.applied.erase(sender.applied_below++);
    }
    return true;
}

bool pin_table::accept_incarnation(instance_id sender,
                                   std::uint64_t incarnation, time_point now)
{
    sender_pins& known = senders_[sender];
    if (incarnation < known.incarnation)
    {
        return false;
    }
    if (incarnation < known.incarnation + restart_gap)
    {
        known.incarnation = incarnation;
        return true;
    }
    mark_orphaned(sender, now + restart_expiry);
    known = sender_pins{incarnation, 1, {}, {}};
    return true;
}

bool pin_table::apply(instance_id sender, std::uint64_t incarnation,
                      const protocol::pin_batch& batch, time_point now)
{
    if (size_ + batch.added.size() > capacity_)
    {
        return false;
    }
    if (!accept_incarnation(sender, incarnation, now))
    {
        return false;
    }
    if (!mark_applied(senders_[sender], batch.sequence))
    {
        return true;
    }
    for (const auto& pin : batch.added)
    {
        insert(sender, pin, now);
    }
    for (const std::uint64_t flow_hash : batch.removed)
    {
        erase_from(senders_[sender].pins, flow_hash);
        erase_orphans(flow_hash);
    }
    return true;
}

void pin_table::insert(instance_id sender, const protocol::flow_pin& pin,
                       time_point now)
{
    auto& pins = senders_[sender].pins;
    const stored_pin kept{pin.service, pin.upstream, now};
    size_ += pins.insert_or_assign(pin.flow_hash, kept).second ? 1 : 0;
}

std::optional<upstream_id> pin_table::find(std::uint64_t flow_hash,
                                           service_id service) const
{
    std::optional<stored_pin> best;
    const auto consider = [&](const pin_map& pins)
    {
        const auto found = pins.find(flow_hash);
        if (found == pins.end() || found->second.service != service)
        {
            return;
        }
        if (!best || best->received < found->second.received)
        {
            best = found->second;
        }
    };
    for (const auto& [id, sender] : senders_)
    {
        consider(sender.pins);
    }
    for (const auto& [expiry, pins] : orphans_)
    {
        consider(pins);
    }
    return best ? std::optional(best->upstream) : std::nullopt;
}

void pin_table::erase(std::uint64_t flow_hash)
{
    for (auto& [id, sender] : senders_)
    {
        erase_from(sender.pins, flow_hash);
    }
    erase_orphans(flow_hash);
}

void pin_table::mark_orphaned(instance_id sender, time_point expiry)
{
    const auto found = senders_.find(sender);
    if (found == senders_.end())
    {
        return;
    }
    if (!found->second.pins.empty())
    {
        orphans_.emplace(expiry, std::move(found->second.pins));
    }
    // The batch numbers stay, since a sender that was only partitioned
    // continues its numbering.
    found->second.pins.clear();
}

void pin_table::expire(time_point now)
{
    while (!orphans_.empty() && orphans_.begin()->first <= now)
    {
        size_ -= orphans_.begin()->second.size();
        orphans_.erase(orphans_.begin());
    }
}

void pin_table::erase_from(pin_map& pins, std::uint64_t flow_hash)
{
    size_ -= pins.erase(flow_hash);
}

void pin_table::erase_orphans(std::uint64_t flow_hash)
{
    for (auto& [expiry, pins] : orphans_)
    {
        erase_from(pins, flow_hash);
    }
}

} // namespace boragestand::state
