#include "coordination/membership.hpp"

#include <algorithm>

// Timed part of membership: probes, suspicion timeouts, the refresh after a
// pause and the check for lost members.

namespace boragestand::coordination
{

using protocol::member_state;
using protocol::member_update;

namespace
{

constexpr std::size_t indirect_probes = 2;
constexpr duration dead_probe_interval = std::chrono::seconds(2);
/// Members that return after a partition do so within this time of each other.
constexpr duration merge_time = std::chrono::milliseconds(100);
/// Right after a member is declared dead, packets of all its flows arrive at
/// their new owners. They don't wait for a check whether it is alive after all.
constexpr duration min_time_since_death = std::chrono::seconds(1);
/// A member that has been dead for longer is not asked for its flows.
constexpr duration max_partition_time = std::chrono::hours(2);
constexpr duration relay_lifetime = std::chrono::seconds(1);

} // namespace

void membership::detect_pause(time_point now, router_effects& effects)
{
    if (!last_tick_ || now - *last_tick_ <= settings_.suspicion_timeout ||
        settings_.faults.no_freshness)
    {
        return;
    }
    last_tick_ = now;
    paused_ = true;
    begin_refresh(now, 2 * settings_.suspicion_timeout, false, effects);
}

void membership::begin_refresh(time_point now, duration limit, bool all,
                               router_effects& effects)
{
    fresh_ = false;
    refresh_start_sequence_ = sequence_;
    refresh_limit_ = now + limit;
    probes_.clear();
    std::size_t asked = 0;
    for (peer& member : peers_)
    {
        if (member.suspected_since)
        {
            member.suspected_since = now;
        }
        member.refresh_pending =
            all || member.latest.state != member_state::dead;
        if (member.refresh_pending)
        {
            ++asked;
            send_probe(member.latest.member, now, false, effects);
        }
    }
    // At the start all members are asked, so that each knows this instance
    // before it owns a flow; later a majority tells whether it was replaced.
    refresh_missing_allowed_ = all ? 0 : asked - std::min(asked, asked / 2 + 1);
}

void membership::check_refresh(time_point now, router_effects& effects)
{
    if (fresh_ || !last_tick_)
    {
        return;
    }
    const auto missing = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [](const peer& member) { return member.refresh_pending; }));
    if (missing <= refresh_missing_allowed_ || now >= refresh_limit_)
    {
        fresh_ = true;
        paused_ = false;
        last_change_ = now;
        ++generation_;
        if (refuted_incarnation_ >= incarnation_)
        {
            incarnation_ = refuted_incarnation_ + 1;
            broadcast(now, effects);
        }
    }
}

void membership::check_probes(time_point now, router_effects& effects)
{
    std::erase_if(relayed_, [&](const relayed_probe& probe)
                  { return now - probe.sent > relay_lifetime; });
    std::vector<instance_id> silent;
    for (pending_probe& probe : probes_)
    {
        if (now - probe.sent < settings_.probe_timeout)
        {
            continue;
        }
        if (probe.indirect)
        {
            silent.push_back(probe.target);
            continue;
        }
        probe.indirect = true;
        probe.sent = now;
        auto relays = reachable();
        std::erase(relays, probe.target);
        for (std::size_t sent = 0; sent < indirect_probes && !relays.empty();
             ++sent)
        {
            const auto chosen = random_.below(relays.size());
            send(relays[chosen],
                 protocol::probe{probe.sequence, probe.target, settings_.self,
                                 revision_, updates_for(relays[chosen])},
                 effects);
            relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
    for (const instance_id target : silent)
    {
        std::erase_if(probes_, [&](const pending_probe& probe)
                      { return probe.target == target; });
        if (peer* member = find(target))
        {
            mark_suspect(*member, now, effects);
        }
    }
}

void membership::check_suspicions(time_point now, router_effects& effects)
{
    bool died = false;
    for (peer& member : peers_)
    {
        if (!member.suspected_since ||
            now - *member.suspected_since < settings_.suspicion_timeout)
        {
            continue;
        }
        member_update update = member.latest;
        update.state = member_state::dead;
        set_state(member, update, now, effects);
        died = true;
    }
    if (died)
    {
        broadcast(now, effects);
    }
}

void membership::probe_next(time_point now, router_effects& effects)
{
    if (now < next_probe_)
    {
        return;
    }
    next_probe_ = now + settings_.probe_interval;
    for (int round = 0; round < 2; ++round)
    {
        while (!probe_order_.empty())
        {
            const instance_id target = probe_order_.back();
            probe_order_.pop_back();
            if (is_reachable(target))
            {
                send_probe(target, now, true, effects);
                return;
            }
        }
        probe_order_ = reachable();
        for (std::size_t left = probe_order_.size(); left > 1; --left)
        {
            std::swap(probe_order_[left - 1],
                      probe_order_[random_.below(left)]);
        }
    }
}

bool membership::request_lost_check(time_point now)
{
    if (now - last_return_ < merge_time)
    {
        return true;
    }
    if (lost_count_ == 0 || now - last_death_ < min_time_since_death)
    {
        return false;
    }
    lost_check_requested_ = true;
    return true;
}

bool membership::is_lost_check_done(time_point wait_start, time_point now) const
{
    if (now - last_return_ < merge_time)
    {
        return false;
    }
    return lost_count_ == 0 || lost_check_confirmed_ >= wait_start ||
           last_return_ >= wait_start;
}

void membership::check_lost_members(time_point now, router_effects& effects)
{
    if (lost_check_started_ &&
        now - *lost_check_started_ >= settings_.probe_timeout)
    {
        lost_check_confirmed_ = *lost_check_started_;
        lost_check_started_.reset();
    }
    if (!lost_check_requested_ || lost_check_started_)
    {
        return;
    }
    lost_check_requested_ = false;
    lost_check_started_ = now;
    const auto members = lost_members();
    lost_count_ = members.size();
    for (const instance_id member : members)
    {
        send_probe(member, now, false, effects);
    }
}

std::vector<instance_id> membership::lost_members() const
{
    std::vector<instance_id> members;
    for (const peer& member : peers_)
    {
        if (member.latest.state == member_state::dead &&
            member.latest.incarnation != 0 && !member.stopped &&
            last_death_ - member.died_at < max_partition_time)
        {
            members.push_back(member.latest.member);
        }
    }
    return members;
}

void membership::probe_dead(time_point now, router_effects& effects)
{
    if (now < next_dead_probe_)
    {
        return;
    }
    next_dead_probe_ = now + dead_probe_interval;
    for (std::size_t tried = 0; tried < peers_.size(); ++tried)
    {
        const peer& member = peers_[next_dead_++ % peers_.size()];
        if (member.latest.state == member_state::dead)
        {
            send_probe(member.latest.member, now, false, effects);
            return;
        }
    }
}

} // namespace boragestand::coordination
