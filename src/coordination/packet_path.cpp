#include "coordination/packet_path.hpp"

#include "coordination/router_clock.hpp"

#include <algorithm>

namespace boragestand::coordination
{

using protocol::ip_protocol;
using state::flow_record;
using state::flow_slot;
using state::flow_state;

namespace
{

/// Times a packet may be forwarded between instances: to the owner, and twice
/// more while flows change their owner.
constexpr std::uint8_t max_hops = 3;
/// Callers wait longer than this before they repeat a SYN.
constexpr duration min_syn_retry_interval = std::chrono::milliseconds(500);
/// Repeated SYNs after which a flow leaves an upstream that takes no new flows.
/// A single one may be due to a lost packet while the upstream drains.
constexpr unsigned syns_before_placing_again = 2;
/// Acknowledged bytes between two progress reports to placement.
constexpr std::int32_t progress_step = 65536;
/// Bytes acknowledged after a FIN that show that the caller closed only its own
/// direction and is still receiving its answer.
constexpr std::int32_t half_closed_progress = 1024;
/// A former owner that owned the flow for less time has not decided about any
/// flow that is old enough to matter.
constexpr duration min_ownership_time = std::chrono::seconds(2);

} // namespace

packet_decision packet_path::decide(const packet_event& event)
{
    ++state_.counters.packets;
    state_.last_packet = event.now;
    const auto candidates = state_.services.find_by_address(
        event.packet.destination, event.packet.protocol);
    for (service_table::entry* service : candidates)
    {
        const protocol::flow_key key{
            service->definition.id, event.packet.source,
            event.packet.destination, event.packet.protocol};
        const classified_packet packet{event, *service, key,
                                       protocol::hash_of(key)};
        const flow_slot slot = state_.flows.find(key, packet.hash);
        if (slot != state::no_flow)
        {
            const packet_decision decision = decide_known(packet, slot);
            count_decision(decision);
            return decision;
        }
    }
    packet_decision decision = dropped{drop_reason::unknown_service};
    if (!candidates.empty())
    {
        service_table::entry& service = *candidates.front();
        const protocol::flow_key key{service.definition.id, event.packet.source,
                                     event.packet.destination,
                                     event.packet.protocol};
        decision =
            decide_unknown({event, service, key, protocol::hash_of(key)});
    }
    count_decision(decision);
    return decision;
}

packet_decision packet_path::decide_known(const classified_packet& packet,
                                          flow_slot slot)
{
    flow_record& record = state_.flows[slot];
    const protocol::inner_packet& inner = packet.event.packet;
    if (!state_.members.is_fresh(packet.event.now) &&
        record.state != flow_state::moved)
    {
        return dropped{drop_reason::view_not_fresh};
    }
    if (record.state == flow_state::waiting ||
        record.state == flow_state::awaiting_pin ||
        record.state == flow_state::awaiting_owner)
    {
        if (inner.flags.rst)
        {
            lifecycle_.cancel_held(slot, packet.event.now);
            return dropped{drop_reason::cancelled};
        }
        return dropped{drop_reason::already_held};
    }
    if (inner.protocol == ip_protocol::tcp && inner.flags.syn &&
        !inner.flags.ack)
    {
        return decide_syn(packet, slot);
    }
    if (may_be_outdated(record, packet.event.now))
    {
        const instance_id owner = state_.owners.owner_of(packet.hash);
        const bool from_owner = packet.event.header.hops > 0 &&
                                packet.event.header.forwarded_by == owner;
        if (owner.value != 0 && owner != state_.settings.self && !from_owner &&
            packet.event.header.hops < max_hops - 1)
        {
            return forward_to(owner, packet.event);
        }
    }
    observe(packet, record);
    return lifecycle_.forward(slot, placement_reason::existing_flow);
}

bool packet_path::may_be_outdated(const flow_record& record, time_point now)
{
    // The owner has a record of a moved flow. While no data has come, it may
    // also have placed the flow anew after a repeated SYN.
    return record.state == flow_state::moved ||
           (record.state == flow_state::opening && !record.has_data &&
            elapsed_since(record.last_packet_ms, now) > min_syn_retry_interval);
}

packet_decision packet_path::decide_syn(const classified_packet& packet,
                                        flow_slot slot)
{
    flow_record& record = state_.flows[slot];
    const std::uint32_t sequence = packet.event.packet.sequence;
    const bool over = record.state == flow_state::closing ||
                      record.state == flow_state::moved;
    if (over && record.first_sequence != sequence)
    {
        // The caller uses its port for a new flow.
        lifecycle_.report_end(record, flow_end::completed, packet.event.now);
        lifecycle_.erase(slot);
        return decide_unknown(packet);
    }
    if (record.state != flow_state::opening &&
        !state_.settings.faults.replay_data)
    {
        return lifecycle_.forward(slot, placement_reason::existing_flow);
    }
    record.first_sequence = sequence;
    record.last_packet_ms = to_record_ms(packet.event.now);
    record.repeated_syns =
        static_cast<std::uint8_t>(std::min(record.repeated_syns + 1, 255));
    lifecycle_.report_observation(record, syn_repeated{}, packet.event.now);
    if (may_place_again(packet, record))
    {
        return lifecycle_.place_again(packet, slot);
    }
    return lifecycle_.forward(slot, placement_reason::existing_flow);
}

bool packet_path::may_place_again(const classified_packet& packet,
                                  const flow_record& record) const
{
    const bool has_data =
        record.has_data && !state_.settings.faults.replay_data;
    if (has_data || packet.service.withdrawn ||
        record.repeated_syns < syns_before_placing_again)
    {
        return false;
    }
    const auto& upstream = state_.addresses[record.upstream];
    const auto active = state_.traffic.active_set(record.service);
    return upstream.replaced ||
           std::none_of(active.begin(), active.end(),
                        [&](const protocol::settled_upstream& candidate)
                        { return candidate.upstream == upstream.upstream; });
}

void packet_path::observe(const classified_packet& packet, flow_record& record)
{
    const time_point now = packet.event.now;
    if (record.state == flow_state::moved)
    {
        // The record is kept for a fixed time, even if packets still arrive.
        return;
    }
    record.last_packet_ms = to_record_ms(now);
    if (record.protocol == ip_protocol::tcp)
    {
        observe_tcp(packet, record);
    }
    const auto limit =
        std::chrono::milliseconds(packet.service.definition.short_limit_ms);
    if (!record.is_long && !record.end_reported &&
        elapsed_since(record.opened_ms, now) > limit)
    {
        record.is_long = true;
        lifecycle_.report_observation(record, flow_became_long{}, now);
    }
}

void packet_path::observe_tcp(const classified_packet& packet,
                              flow_record& record)
{
    const protocol::inner_packet& inner = packet.event.packet;
    const time_point now = packet.event.now;
    if (inner.flags.rst)
    {
        lifecycle_.report_end(record, flow_end::reset, now);
        record.state = flow_state::closing;
        return;
    }
    if (record.state == flow_state::opening && inner.flags.ack)
    {
        record.state = flow_state::established;
        record.acknowledgement = inner.acknowledgement;
        lifecycle_.report_observation(
            record, flow_established{elapsed_since(record.opened_ms, now)},
            now);
    }
    record.has_data = record.has_data || inner.payload_size > 0;
    if (inner.flags.ack)
    {
        observe_progress(packet, record);
    }
    if (inner.flags.fin)
    {
        record.finished = true;
    }
    if (record.finished && record.progressed &&
        record.state == flow_state::established)
    {
        record.state = flow_state::closing;
        record.acknowledgement = inner.acknowledgement;
        lifecycle_.report_end(record, flow_end::completed, now);
    }
}

void packet_path::observe_progress(const classified_packet& packet,
                                   flow_record& record)
{
    const std::uint32_t acknowledged = packet.event.packet.acknowledgement;
    const auto bytes =
        static_cast<std::int32_t>(acknowledged - record.acknowledgement);
    if (bytes <= 0 || !record.has_data)
    {
        return;
    }
    if (record.state == flow_state::closing && !packet.event.packet.flags.fin &&
        bytes >= half_closed_progress)
    {
        record.state = flow_state::established;
        record.progressed = false;
        record.end_reported = false;
        lifecycle_.report_observation(record, flow_adopted{}, packet.event.now);
    }
    if (record.progressed && bytes < progress_step)
    {
        return;
    }
    record.progressed = !record.finished;
    record.acknowledgement = acknowledged;
    lifecycle_.report_observation(
        record, flow_progressed{static_cast<std::uint32_t>(bytes)},
        packet.event.now);
}

packet_decision packet_path::decide_unknown(const classified_packet& packet)
{
    const packet_event& event = packet.event;
    const instance_id owner = state_.owners.owner_of(packet.hash);
    const bool own = owner == state_.settings.self ||
                     (owner.value == 0 && state_.members.is_fresh(event.now));
    const bool from_owner = event.header.hops > 0 &&
                            owner == event.header.forwarded_by &&
                            !state_.settings.faults.no_return_guard;
    const bool handle_here = from_owner && !must_return_to_owner(packet);
    if (from_owner && !handle_here && event.header.hops >= max_hops)
    {
        return dropped{drop_reason::too_many_hops};
    }
    if (owner.value != 0 && !own && !handle_here)
    {
        if (event.header.hops >= max_hops)
        {
            return dropped{drop_reason::too_many_hops};
        }
        return forward_to(owner, event);
    }
    if (!state_.members.is_fresh(event.now))
    {
        return dropped{drop_reason::view_not_fresh};
    }
    return decide_as_owner(packet);
}

bool packet_path::must_return_to_owner(const classified_packet& packet) const
{
    // An instance that is stopping opens no flow, not even one whose owner sent
    // the packet here. A datagram does not tell whether its flow is new, so
    // only the owner may open it, except at the last hop if the views still
    // differ.
    const bool may_open =
        packet.key.protocol == ip_protocol::udp &&
        packet.event.header.hops < max_hops &&
        !state_.kept_pins.find(packet.hash, packet.key.service);
    return may_open || state_.members.is_leaving();
}

packet_decision packet_path::decide_as_owner(const classified_packet& packet)
{
    const protocol::inner_packet& inner = packet.event.packet;
    if (inner.protocol == ip_protocol::udp || !inner.flags.syn ||
        inner.flags.ack)
    {
        return decide_lookup(packet);
    }
    if (packet.service.withdrawn)
    {
        return dropped{drop_reason::unknown_service};
    }
    return lifecycle_.open(packet);
}

packet_decision packet_path::decide_lookup(const classified_packet& packet)
{
    const state::service& service = packet.service.definition;
    if (const auto pin = state_.kept_pins.find(packet.hash, service.id))
    {
        return lifecycle_.adopt(packet, *pin, placement_reason::pin);
    }
    const bool is_udp = packet.key.protocol == ip_protocol::udp;
    // New flows of idempotent UDP services do not wait.
    const bool may_wait =
        (!is_udp || !service.idempotent) &&
        state_.owners.owner_of(packet.hash) == state_.settings.self;
    if (may_wait && packet.event.header.hops < max_hops &&
        state_.members.request_lost_check(packet.event.now) &&
        lifecycle_.hold_for_owner(packet))
    {
        return held{};
    }
    if (auto passed = forward_to_former_owner(packet))
    {
        return *passed;
    }
    return is_udp ? decide_unknown_udp(packet) : adopt_unknown(packet);
}

void packet_path::check_owner_waits(time_point now)
{
    std::vector<held_flow> over;
    for (const auto& [ticket, waiting] : state_.held.all())
    {
        const bool unknown =
            state_.flows[waiting.flow.slot].state == flow_state::awaiting_owner;
        if (unknown &&
            state_.members.is_lost_check_done(waiting.held_since, now))
        {
            over.push_back(waiting);
        }
    }
    std::sort(over.begin(), over.end(),
              [](const held_flow& left, const held_flow& right)
              { return left.ticket < right.ticket; });
    for (const held_flow& waiting : over)
    {
        finish_wait(waiting, now);
    }
}

void packet_path::finish_wait(const held_flow& waiting, time_point now)
{
    packet_event event = waiting.packet;
    event.now = now;
    const protocol::flow_key key = state_.flows[waiting.flow.slot].key();
    service_table::entry& service = *state_.services.find(key.service);
    const classified_packet packet{event, service, key, waiting.flow.hash};
    state_.held.erase(waiting);
    lifecycle_.erase(waiting.flow.slot);

    packet_decision decision;
    if (const auto passed = forward_to_former_owner(packet))
    {
        decision = *passed;
    }
    else if (key.protocol == ip_protocol::udp)
    {
        decision = decide_unknown_udp(packet);
    }
    else
    {
        decision = adopt_unknown(packet);
    }
    count_decision(decision);
    if (!std::holds_alternative<held>(decision))
    {
        state_.pending_effects.push_back(
            release_held{waiting.ticket, decision, now - waiting.held_since});
    }
}

packet_decision packet_path::adopt_unknown(const classified_packet& packet)
{
    const service_id service = packet.service.definition.id;
    auto upstream = former_default(packet);
    if (!upstream)
    {
        upstream = state_.settled.own_default(service, packet.hash);
    }
    if (state_.settings.faults.no_settled_sets)
    {
        upstream =
            rendezvous_choice(state_.traffic.active_set(service), packet.hash);
    }
    if (!upstream)
    {
        return dropped{drop_reason::unknown_flow};
    }
    return lifecycle_.adopt(packet, *upstream,
                            placement_reason::settled_default);
}

packet_decision packet_path::decide_unknown_udp(const classified_packet& packet)
{
    const state::service& service = packet.service.definition;
    // A flow of a dead owner looks like a new one. It has a pin if its service
    // is not idempotent; otherwise it continues at its default.
    const auto upstream = former_default(packet);
    if (upstream && service.idempotent)
    {
        return lifecycle_.adopt(packet, *upstream,
                                placement_reason::settled_default);
    }
    if (packet.service.withdrawn)
    {
        return dropped{drop_reason::unknown_service};
    }
    return lifecycle_.open(packet);
}

std::optional<packet_decision>
packet_path::forward_to_former_owner(const classified_packet& packet) const
{
    const packet_event& event = packet.event;
    // Leaves a hop for a datagram to be sent back.
    const int hops_needed = packet.key.protocol == ip_protocol::udp ? 2 : 1;
    if (state_.settings.faults.no_previous_owner ||
        event.header.hops + hops_needed > max_hops)
    {
        return std::nullopt;
    }
    for (std::size_t index = 0;; ++index)
    {
        const auto former = state_.owners.find_former_owner(packet.hash, index);
        if (!former)
        {
            return std::nullopt;
        }
        const instance_id id = former->instance;
        const bool already_asked =
            event.header.hops > 0 && id == event.header.forwarded_by;
        if (id != state_.settings.self && id.value != 0 && !already_asked &&
            state_.members.is_reachable(id))
        {
            return forward_to(id, event);
        }
    }
}

std::optional<upstream_id>
packet_path::former_default(const classified_packet& packet) const
{
    const service_id service = packet.service.definition.id;
    std::optional<upstream_id> choice;
    for (std::size_t index = 0;; ++index)
    {
        const auto former = state_.owners.find_former_owner(packet.hash, index);
        if (!former)
        {
            return choice;
        }
        const auto upstream =
            former->instance == state_.settings.self
                ? state_.settled.own_default(service, packet.hash)
                : state_.settled.peer_default(former->instance, service,
                                              packet.hash);
        choice = upstream ? upstream : choice;
        if (choice && former->in_force >= min_ownership_time)
        {
            return choice;
        }
    }
}

packet_decision packet_path::forward_to(instance_id instance,
                                        const packet_event& event)
{
    return forward_to_instance{
        instance, static_cast<std::uint8_t>(event.header.hops + 1)};
}

void packet_path::count_decision(const packet_decision& decision)
{
    router_counters& counters = state_.counters;
    counters.forwarded_to_upstream +=
        std::holds_alternative<forward_to_upstream>(decision) ? 1 : 0;
    counters.forwarded_to_instance +=
        std::holds_alternative<forward_to_instance>(decision) ? 1 : 0;
    counters.packets_dropped +=
        std::holds_alternative<dropped>(decision) ? 1 : 0;
}

} // namespace boragestand::coordination
