#include "coordination/settled_sets.hpp"

#include <algorithm>

namespace boragestand::coordination
{

namespace
{

/// A new active set is counted once it has not changed for this long, so that
/// upstreams that start together cause one move.
constexpr duration stable_time = std::chrono::seconds(2);
constexpr duration retry_time = std::chrono::seconds(2);

} // namespace

std::span<const protocol::settled_upstream>
settled_sets::own(service_id service) const
{
    const own_set* set = find(service);
    return set == nullptr ? std::span<const protocol::settled_upstream>()
                          : std::span(set->settled);
}

std::optional<upstream_id>
settled_sets::own_default(service_id service, std::uint64_t flow_hash) const
{
    return rendezvous_choice(own(service), flow_hash);
}

std::optional<upstream_id>
settled_sets::peer_default(instance_id peer, service_id service,
                           std::uint64_t flow_hash) const
{
    const auto found = peers_.find({peer, service});
    if (found == peers_.end())
    {
        return std::nullopt;
    }
    return rendezvous_choice(found->second.announced.upstreams, flow_hash);
}

bool settled_sets::is_exception(service_id service, std::uint64_t flow_hash,
                                upstream_id upstream) const
{
    const own_set* set = find(service);
    if (set == nullptr)
    {
        return true;
    }
    if (rendezvous_choice(set->settled, flow_hash) != upstream)
    {
        return true;
    }
    return set->current_phase == phase::pinning &&
           rendezvous_choice(set->next, flow_hash) != upstream;
}

void settled_sets::apply_announcement(instance_id peer,
                                      std::uint64_t incarnation,
                                      const protocol::settled_set& announced)
{
    peer_set& stored = peers_[{peer, announced.service}];
    const bool newer = incarnation > stored.incarnation ||
                       announced.version > stored.announced.version;
    if (incarnation < stored.incarnation || !newer)
    {
        return;
    }
    stored = {incarnation, announced};
}

settled_sets::task
settled_sets::advance(service_id service,
                      std::span<const protocol::settled_upstream> active,
                      std::size_t flows, time_point now)
{
    own_set& set = own_[service];
    if (set.settled.empty() || flows == 0)
    {
        const upstreams* other = largest_peer_set(service);
        const bool from_peer = set.settled.empty() && other != nullptr;
        const upstreams target =
            from_peer ? *other : upstreams(active.begin(), active.end());
        if (target.empty() || target == set.settled)
        {
            return task::none;
        }
        set.next = target;
        commit(service, now);
        return task::none;
    }
    if (set.current_phase == phase::pinning)
    {
        return task::pin;
    }
    if (!std::equal(active.begin(), active.end(), set.next.begin(),
                    set.next.end()))
    {
        set.next.assign(active.begin(), active.end());
        set.next_since = now;
        set.current_phase = phase::idle;
    }
    if (set.current_phase == phase::counting)
    {
        return task::count;
    }
    if (set.next == set.settled || set.next.empty() || now < set.retry_at ||
        now - set.next_since < stable_time)
    {
        return task::none;
    }
    set.current_phase = phase::counting;
    set.exceptions_added = 0;
    set.exceptions_removed = 0;
    return task::count;
}

void settled_sets::count_flow(service_id service, std::uint64_t flow_hash,
                              upstream_id upstream, bool exception)
{
    own_set& set = own_[service];
    const bool at_next = rendezvous_choice(set.next, flow_hash) == upstream;
    set.exceptions_added += !exception && !at_next ? 1 : 0;
    set.exceptions_removed += exception && at_next ? 1 : 0;
}

bool settled_sets::finish_count(service_id service, time_point now)
{
    own_set& set = own_[service];
    if (set.exceptions_added > set.exceptions_removed)
    {
        set.current_phase = phase::idle;
        set.retry_at = now + retry_time;
        return false;
    }
    set.current_phase = phase::pinning;
    return true;
}

void settled_sets::commit(service_id service, time_point now)
{
    own_set& set = own_[service];
    set.settled = set.next;
    set.current_phase = phase::idle;
    set.changed_at = now;
    ++set.version;
}

std::vector<service_id> settled_sets::services() const
{
    std::vector<service_id> all;
    for (const auto& [service, set] : own_)
    {
        if (!set.settled.empty())
        {
            all.push_back(service);
        }
    }
    return all;
}

protocol::settled_set settled_sets::announcement(service_id service) const
{
    const own_set& set = own_.at(service);
    return {service, set.version, set.settled};
}

time_point settled_sets::changed_at(service_id service) const
{
    const own_set* set = find(service);
    return set == nullptr ? time_point{} : set->changed_at;
}

const settled_sets::own_set* settled_sets::find(service_id service) const
{
    const auto found = own_.find(service);
    return found == own_.end() || found->second.settled.empty()
               ? nullptr
               : &found->second;
}

const settled_sets::upstreams*
settled_sets::largest_peer_set(service_id service) const
{
    const upstreams* largest = nullptr;
    for (const auto& [key, peer] : peers_)
    {
        const auto& candidate = peer.announced.upstreams;
        if (key.second == service && !candidate.empty() &&
            (largest == nullptr || candidate.size() > largest->size()))
        {
            largest = &candidate;
        }
    }
    return largest;
}

} // namespace boragestand::coordination
