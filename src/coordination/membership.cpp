#include "coordination/membership.hpp"

#include <algorithm>

namespace boragestand::coordination
{

using protocol::member_state;
using protocol::member_update;

namespace
{

/// Messages that carry a change: enough to reach 64 members with high
/// probability, at little cost for 6 members.
constexpr unsigned gossip_copies = 8;
/// Changes in one message, so that a probe stays below 150 bytes.
constexpr std::size_t max_updates = 6;
constexpr std::size_t max_broadcast = 16;
constexpr duration notify_interval = std::chrono::milliseconds(100);
/// Refutations raise an incarnation by one, a new process by the milliseconds
/// since the start of the old one.
constexpr std::uint64_t restart_gap = 1000;

bool supersedes(const member_update& update, const member_update& current)
{
    return update.incarnation != current.incarnation
               ? update.incarnation > current.incarnation
               : update.state > current.state;
}

bool may_own(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace

membership::membership(const router_settings& settings)
    : settings_(settings)
    , incarnation_(settings.incarnation)
    , random_(mix_hashes(settings.seed, settings.self.value))
{
    for (const member& listed : settings.members)
    {
        if (listed.id != settings.self)
        {
            peer added;
            added.latest = {listed.id, 0, member_state::dead};
            peers_.push_back(added);
        }
    }
    std::sort(peers_.begin(), peers_.end(),
              [](const peer& left, const peer& right)
              { return left.latest.member < right.latest.member; });
    fresh_ = peers_.empty();
}

void membership::tick(time_point now, router_effects& effects)
{
    if (!last_tick_)
    {
        last_change_ = now;
        last_tick_ = now;
        begin_refresh(now, settings_.suspicion_timeout, true, effects);
    }
    detect_pause(now, effects);
    last_tick_ = now;
    check_refresh(now, effects);
    check_probes(now, effects);
    check_suspicions(now, effects);
    probe_next(now, effects);
    check_lost_members(now, effects);
    probe_dead(now, effects);
}

bool membership::receive(const protocol::entry_envelope& envelope,
                         time_point now, router_effects& effects)
{
    // After a pause, messages may be read before the first tick.
    detect_pause(now, effects);
    if (!process_sender(envelope, now, effects))
    {
        return false;
    }
    if (const auto* request = std::get_if<protocol::probe>(&envelope.message))
    {
        for (const auto& update : request->updates)
        {
            apply(update, now, effects);
        }
        handle_probe(envelope, *request, now, effects);
    }
    if (const auto* ack = std::get_if<protocol::probe_ack>(&envelope.message))
    {
        for (const auto& update : ack->updates)
        {
            apply(update, now, effects);
        }
        handle_ack(envelope, *ack, effects);
    }
    check_refresh(now, effects);
    return true;
}

bool membership::process_sender(const protocol::entry_envelope& envelope,
                                time_point now, router_effects& effects)
{
    peer* sender = find(envelope.from);
    if (sender == nullptr)
    {
        return false;
    }
    if (envelope.incarnation > sender->latest.incarnation)
    {
        apply({envelope.from, envelope.incarnation, member_state::alive}, now,
              effects);
    }
    const bool suspect_or_dead =
        sender->latest.state == member_state::suspect ||
        sender->latest.state == member_state::dead;
    const bool earlier = envelope.incarnation < sender->latest.incarnation;
    if ((suspect_or_dead || earlier) &&
        now - sender->last_notified >= notify_interval)
    {
        // Only the member itself can refute this, with a higher incarnation.
        sender->last_notified = now;
        send_probe(envelope.from, now, false, effects);
    }
    if (sender->latest.state == member_state::leaving)
    {
        sender->suspected_since.reset();
    }
    // A sender that restarted within the same millisecond, or whose clock was
    // set back, uses an earlier incarnation. Its messages are accepted again
    // once it has raised its incarnation.
    return !earlier;
}

void membership::apply(const member_update& update, time_point now,
                       router_effects& effects)
{
    if (update.member == settings_.self)
    {
        apply_about_self(update, now, effects);
        return;
    }
    peer* found = find(update.member);
    if (found != nullptr && supersedes(update, found->latest))
    {
        set_state(*found, update, now, effects);
    }
}

void membership::apply_about_self(const member_update& update, time_point now,
                                  router_effects& effects)
{
    const bool refutable = update.state == member_state::suspect ||
                           update.state == member_state::dead;
    if (!refutable || update.incarnation < incarnation_)
    {
        return;
    }
    if (paused_)
    {
        // Refutes only after the refresh: the answers must still show whether
        // this instance was declared dead, which a refutation would revert.
        lost_ownership_ = lost_ownership_ || update.state == member_state::dead;
        refuted_incarnation_ =
            std::max(refuted_incarnation_, update.incarnation);
        return;
    }
    declared_dead_ = declared_dead_ || update.state == member_state::dead;
    incarnation_ = update.incarnation + 1;
    broadcast(now, effects);
}

void membership::set_state(peer& member, const member_update& update,
                           time_point now, router_effects& effects)
{
    const bool was_owner = may_own(member.latest.state);
    member.stopped = member.latest.state == member_state::leaving &&
                     update.state == member_state::dead;
    const bool joined = member.latest.state == member_state::dead;
    if (joined && member.latest.incarnation != 0 &&
        update.incarnation - member.latest.incarnation < restart_gap)
    {
        returned_.push_back(update.member);
        last_return_ = now;
    }
    member.latest = update;
    member.gossip_left = gossip_copies;
    member.suspected_since.reset();
    if (update.state == member_state::suspect)
    {
        member.suspected_since = now;
    }
    if (update.state == member_state::dead)
    {
        member.refresh_pending = false;
        std::erase_if(probes_, [&](const pending_probe& probe)
                      { return probe.target == update.member; });
    }
    if (was_owner != may_own(update.state))
    {
        ++generation_;
    }
    last_change_ = now;
    effects.push_back(
        member_changed{update.member, update.state, update.incarnation});
    if (joined)
    {
        send_probe(update.member, now, false, effects);
        broadcast(now, effects);
    }
    if (update.state == member_state::dead)
    {
        last_death_ = now;
        member.died_at = now;
    }
    lost_count_ = lost_members().size();
}

void membership::mark_suspect(peer& member, time_point now,
                              router_effects& effects)
{
    if (member.latest.state == member_state::leaving)
    {
        if (!member.suspected_since)
        {
            member.suspected_since = now;
        }
        return;
    }
    if (member.latest.state != member_state::alive)
    {
        return;
    }
    member_update update = member.latest;
    update.state = member_state::suspect;
    set_state(member, update, now, effects);
    send_probe(update.member, now, false, effects);
}

void membership::handle_probe(const protocol::entry_envelope& envelope,
                              const protocol::probe& request, time_point now,
                              router_effects& effects)
{
    if (request.target == settings_.self)
    {
        send(envelope.from,
             protocol::probe_ack{request.sequence, settings_.self, revision_,
                                 updates_for(envelope.from)},
             effects);
        return;
    }
    if (find(request.target) == nullptr)
    {
        return;
    }
    ++sequence_;
    relayed_.push_back(
        {sequence_, request.sequence, request.on_behalf_of, now});
    send(request.target,
         protocol::probe{sequence_, request.target, request.on_behalf_of,
                         revision_, updates_for(request.target)},
         effects);
}

void membership::handle_ack(const protocol::entry_envelope& envelope,
                            const protocol::probe_ack& ack,
                            router_effects& effects)
{
    std::erase_if(probes_,
                  [&](const pending_probe& probe) {
                      return probe.target == ack.target &&
                             probe.sequence == ack.sequence;
                  });
    // Messages that were queued during a pause do not answer the refresh.
    if (peer* target = find(ack.target);
        target != nullptr && ack.sequence > refresh_start_sequence_)
    {
        target->refresh_pending = false;
    }
    const auto relayed = std::find_if(relayed_.begin(), relayed_.end(),
                                      [&](const relayed_probe& probe) {
                                          return envelope.from == ack.target &&
                                                 probe.sequence == ack.sequence;
                                      });
    if (relayed == relayed_.end())
    {
        return;
    }
    const relayed_probe origin = *relayed;
    relayed_.erase(relayed);
    send(origin.origin,
         protocol::probe_ack{origin.origin_sequence, ack.target, revision_,
                             updates_for(origin.origin)},
         effects);
}

void membership::leave(time_point now, router_effects& effects)
{
    if (leaving_)
    {
        return;
    }
    leaving_ = true;
    ++generation_;
    last_change_ = now;
    broadcast(now, effects);
}

void membership::send_probe(instance_id to, time_point now, bool expect_ack,
                            router_effects& effects)
{
    ++sequence_;
    if (expect_ack)
    {
        probes_.push_back({sequence_, to, now, false});
    }
    send(to,
         protocol::probe{sequence_, to, instance_id{}, revision_,
                         updates_for(to)},
         effects);
}

void membership::broadcast(time_point now, router_effects& effects)
{
    self_gossip_left_ = gossip_copies;
    auto targets = reachable();
    while (targets.size() > max_broadcast)
    {
        targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(
                                            random_.below(targets.size())));
    }
    for (const instance_id target : targets)
    {
        send_probe(target, now, false, effects);
    }
}

std::vector<member_update> membership::updates_for(instance_id to)
{
    std::vector<member_update> updates;
    if (leaving_ || self_gossip_left_ > 0)
    {
        self_gossip_left_ -= self_gossip_left_ > 0 ? 1 : 0;
        updates.push_back(
            {settings_.self, incarnation_,
             leaving_ ? member_state::leaving : member_state::alive});
    }
    for (peer& member : peers_)
    {
        const bool is_receiver = member.latest.member == to;
        if (is_receiver && member.latest.incarnation != 0 &&
            !may_own(member.latest.state))
        {
            updates.push_back(member.latest);
            continue;
        }
        if (is_receiver && member.latest.state == member_state::suspect)
        {
            updates.push_back(member.latest);
            continue;
        }
        if (member.gossip_left > 0 && updates.size() < max_updates)
        {
            --member.gossip_left;
            updates.push_back(member.latest);
        }
    }
    return updates;
}

bool membership::is_fresh(time_point now) const
{
    if (peers_.empty() || settings_.faults.no_freshness)
    {
        return true;
    }
    return fresh_ && now - *last_tick_ <= settings_.suspicion_timeout;
}

bool membership::is_settled(time_point now) const
{
    if (peers_.empty())
    {
        return true;
    }
    return now - last_change_ >= settings_.settling_time &&
           std::none_of(peers_.begin(), peers_.end(),
                        [](const peer& member)
                        { return member.suspected_since.has_value(); });
}

std::vector<instance_id> membership::eligible() const
{
    std::vector<instance_id> members;
    for (const peer& member : peers_)
    {
        if (may_own(member.latest.state))
        {
            members.push_back(member.latest.member);
        }
    }
    if (!leaving_ && (fresh_ || paused_))
    {
        members.push_back(settings_.self);
        std::sort(members.begin(), members.end());
    }
    return members;
}

std::vector<instance_id> membership::reachable() const
{
    std::vector<instance_id> members;
    for (const peer& member : peers_)
    {
        if (member.latest.state != member_state::dead)
        {
            members.push_back(member.latest.member);
        }
    }
    return members;
}

bool membership::is_reachable(instance_id member) const
{
    const peer* found = find(member);
    return found != nullptr && found->latest.state != member_state::dead;
}

std::vector<instance_id> membership::take_returned_members()
{
    return std::exchange(returned_, {});
}

bool membership::take_lost_ownership()
{
    return !paused_ && std::exchange(lost_ownership_, false);
}

bool membership::take_declared_dead()
{
    return std::exchange(declared_dead_, false);
}

protocol::entry_envelope
membership::envelope(protocol::entry_message message) const
{
    return {settings_.self, incarnation_, std::move(message)};
}

std::vector<member_update> membership::view() const
{
    std::vector<member_update> members;
    members.push_back({settings_.self, incarnation_,
                       leaving_ ? member_state::leaving : member_state::alive});
    for (const peer& member : peers_)
    {
        members.push_back(member.latest);
    }
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right)
              { return left.member < right.member; });
    return members;
}

void membership::send(instance_id to, protocol::entry_message message,
                      router_effects& effects) const
{
    effects.push_back(send_to_instance{to, envelope(std::move(message))});
}

membership::peer* membership::find(instance_id id)
{
    return const_cast<peer*>(std::as_const(*this).find(id));
}

const membership::peer* membership::find(instance_id id) const
{
    const auto found = std::find_if(peers_.begin(), peers_.end(),
                                    [id](const peer& member)
                                    { return member.latest.member == id; });
    return found == peers_.end() ? nullptr : &*found;
}

} // namespace boragestand::coordination
