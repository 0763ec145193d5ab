#include "coordination/flow_lifecycle.hpp"

#include "coordination/router_clock.hpp"

#include <algorithm>

namespace boragestand::coordination
{

using state::flow_record;
using state::flow_slot;
using state::flow_state;

namespace
{

/// Longest wait for a pin; then the caller has to repeat the dropped datagram.
constexpr duration pin_wait_limit = std::chrono::seconds(2);
/// Backlog of overdue pins, as time at the pin budget, up to which placement
/// may make exceptions; lower for long work, which is certain to need a pin.
constexpr double long_limit_seconds = 0.1;
constexpr double short_limit_seconds = 0.5;

} // namespace

flow_arrival flow_lifecycle::make_arrival(const classified_packet& packet) const
{
    const packet_event& event = packet.event;
    const state::service& service = packet.service.definition;
    flow_arrival arrival;
    arrival.service = service.id;
    arrival.flow_hash = packet.hash;
    arrival.caller_address = packet.key.caller.address;
    arrival.work = event.header.work;
    if (arrival.work == protocol::request_class::unspecified)
    {
        arrival.work = service.work;
    }
    arrival.time_left = std::chrono::milliseconds(
        event.header.deadline_ms.value_or(service.hold_limit_ms));
    arrival.ticket = event.ticket;
    const bool is_long = arrival.work == protocol::request_class::long_work;
    const double limit = state_.settings.pin_bytes_per_second *
                         (is_long ? long_limit_seconds : short_limit_seconds);
    const bool has_pin_budget =
        static_cast<double>(state_.pins.backlog_bytes()) <= limit;
    arrival.may_deviate =
        state_.settings.faults.deviate_when_unsettled ||
        (has_pin_budget && state_.members.is_settled(event.now));
    return arrival;
}

packet_decision flow_lifecycle::open(const classified_packet& packet)
{
    if (state_.flows.size() >= state_.settings.flow_capacity)
    {
        return dropped{drop_reason::table_full};
    }
    const flow_arrival arrival = make_arrival(packet);
    const admission decision = state_.traffic.admit(arrival, packet.event.now);
    if (std::holds_alternative<dropped>(decision) ||
        std::holds_alternative<refused>(decision))
    {
        return reject(decision, false);
    }
    const flow_slot slot = insert_flow(packet);
    state_.flows[slot].work = arrival.work;
    return apply_admission(packet, slot, decision);
}

flow_slot flow_lifecycle::insert_flow(const classified_packet& packet)
{
    const flow_slot slot = state_.flows.insert(packet.key, packet.hash);
    if (slot == state::no_flow)
    {
        return slot;
    }
    flow_record& added = state_.flows[slot];
    added.opened_ms = to_record_ms(packet.event.now);
    added.last_packet_ms = added.opened_ms;
    added.acknowledgement = packet.event.packet.acknowledgement;
    added.first_sequence = packet.event.packet.sequence;
    added.upstream = no_upstream_position;
    ++packet.service.flows;
    if (packet.event.header.request)
    {
        added.has_request = true;
        state_.requests.add(*packet.event.header.request, {slot, packet.hash});
    }
    return slot;
}

packet_decision flow_lifecycle::apply_admission(const classified_packet& packet,
                                                flow_slot slot,
                                                const admission& decision)
{
    const time_point now = packet.event.now;
    if (const auto* place = std::get_if<placed>(&decision))
    {
        ++state_.counters.flows_opened;
        return start_flow(slot, *place, packet.event.ticket, now);
    }
    if (std::holds_alternative<held>(decision))
    {
        ++state_.counters.flows_held;
        state_.flows[slot].state = flow_state::waiting;
        state_.held.add({packet.event.ticket,
                         {slot, packet.hash},
                         now,
                         time_point::max(),
                         {}});
        return held{};
    }
    const bool was_forwarded = state_.flows[slot].was_forwarded;
    erase(slot);
    return reject(decision, was_forwarded);
}

packet_decision flow_lifecycle::reject(const admission& decision,
                                       bool was_forwarded)
{
    if (const auto* agreed = std::get_if<refused>(&decision))
    {
        if (was_forwarded)
        {
            // The request may have run; the caller must not be told otherwise.
            return dropped{drop_reason::hold_expired};
        }
        ++state_.counters.flows_refused;
        return *agreed;
    }
    const auto* reason = std::get_if<dropped>(&decision);
    return reason == nullptr ? dropped{drop_reason::hold_expired} : *reason;
}

packet_decision flow_lifecycle::start_flow(flow_slot slot, const placed& place,
                                           hold_ticket ticket, time_point now)
{
    flow_record& record = state_.flows[slot];
    bind(record, place.upstream, &place.address);
    const bool is_tcp = record.protocol == protocol::ip_protocol::tcp;
    record.state = is_tcp ? flow_state::opening : flow_state::established;
    record.has_data = !is_tcp;
    record.opened_ms = to_record_ms(now);
    if (must_await_pin(record))
    {
        record.state = flow_state::awaiting_pin;
        record.is_exception = true;
        const auto limit = now + pin_wait_limit;
        state_.held.add({ticket, {slot, record.hash}, now, limit, {}});
        state_.pins.queue_urgent({slot, record.hash});
        return held{};
    }
    mark_exception(slot, now);
    return forward(slot, place.reason);
}

bool flow_lifecycle::is_non_idempotent_udp(const flow_record& record) const
{
    const auto* service = state_.services.find(record.service);
    return record.protocol == protocol::ip_protocol::udp &&
           !service->definition.idempotent;
}

bool flow_lifecycle::must_await_pin(const flow_record& record) const
{
    return is_non_idempotent_udp(record) &&
           !state_.settings.faults.no_pin_wait &&
           state_.pins.has_backup(record.hash);
}

bool flow_lifecycle::needs_pin(const flow_record& record) const
{
    // Without a pin, a datagram of such a flow would look like a new flow.
    return is_non_idempotent_udp(record) ||
           state_.settled.is_exception(
               record.service, record.hash,
               state_.addresses[record.upstream].upstream);
}

void flow_lifecycle::mark_exception(flow_slot slot, time_point now)
{
    flow_record& record = state_.flows[slot];
    record.is_exception = needs_pin(record);
    if (record.is_exception)
    {
        // Long flows are few and outlive the pin age, so waiting saves nothing.
        const bool at_once = record.work == protocol::request_class::long_work;
        const auto opened = now - elapsed_since(record.opened_ms, now);
        const flow_reference flow{slot, record.hash};
        at_once ? state_.pins.queue(flow) : state_.pins.schedule(flow, opened);
    }
}

packet_decision flow_lifecycle::adopt(const classified_packet& packet,
                                      upstream_id upstream,
                                      placement_reason reason)
{
    const auto address =
        state_.traffic.address_of(packet.service.definition.id, upstream);
    const auto position =
        state_.addresses.find_or_add(packet.service.definition.id, upstream);
    if (!address && !state_.addresses[position].known)
    {
        return dropped{drop_reason::upstream_gone};
    }
    const flow_slot slot =
        packet.event.packet.flags.rst ? state::no_flow : insert_flow(packet);
    if (slot == state::no_flow)
    {
        // No record: a reset, or no room. The next packet is looked up again.
        return forward_to_upstream{
            packet.service.definition.id, upstream,
            address.value_or(state_.addresses[position].address), reason};
    }
    flow_record& added = state_.flows[slot];
    bind(added, upstream, address ? &*address : nullptr);
    added.state = flow_state::established;
    added.has_data = true;
    added.finished = packet.event.packet.flags.fin;
    added.first_sequence = 0;
    added.work = packet.event.header.work;
    added.opened_ms -= static_cast<std::uint32_t>(state_.settings.pin_age /
                                                  std::chrono::milliseconds(1));
    ++state_.counters.flows_adopted;
    report_observation(added, flow_adopted{}, packet.event.now);
    added.is_exception = needs_pin(added);
    if (added.is_exception)
    {
        state_.pins.queue({slot, added.hash});
    }
    state_.kept_pins.erase(added.hash);
    return forward(slot, reason);
}

bool flow_lifecycle::hold_for_owner(const classified_packet& packet)
{
    const flow_slot slot = insert_flow(packet);
    if (slot == state::no_flow)
    {
        return false;
    }
    state_.flows[slot].state = flow_state::awaiting_owner;
    const time_point now = packet.event.now;
    state_.held.add({packet.event.ticket,
                     {slot, packet.hash},
                     now,
                     time_point::max(),
                     packet.event});
    return true;
}

packet_decision flow_lifecycle::place_again(const classified_packet& packet,
                                            flow_slot slot)
{
    flow_record& record = state_.flows[slot];
    const time_point now = packet.event.now;
    report_end(record, flow_end::unanswered, now);
    state_.pins.remove_pins(record);
    unbind(record);
    record.end_reported = false;
    record.is_exception = false;
    record.was_forwarded = true;
    record.repeated_syns = 0;
    admission decision = state_.traffic.admit(make_arrival(packet), now);
    if (auto* place = std::get_if<placed>(&decision))
    {
        place->reason = placement_reason::placed_again;
    }
    return apply_admission(packet, slot, decision);
}

packet_decision flow_lifecycle::forward(flow_slot slot, placement_reason reason)
{
    const flow_record& record = state_.flows[slot];
    auto& upstream = state_.addresses[record.upstream];
    if (!upstream.known)
    {
        const auto address =
            state_.traffic.address_of(upstream.service, upstream.upstream);
        if (!address)
        {
            return dropped{drop_reason::upstream_gone};
        }
        upstream.address = *address;
        upstream.known = true;
    }
    if (upstream.replaced && record.protocol == protocol::ip_protocol::udp)
    {
        const auto* service = state_.services.find(record.service);
        if (!service->definition.idempotent)
        {
            // A restarted upstream does not know which requests have run.
            return dropped{drop_reason::upstream_gone};
        }
    }
    return forward_to_upstream{upstream.service, upstream.upstream,
                               upstream.address, reason};
}

bool flow_lifecycle::accept_transfer(const protocol::flow_transfer& transfer,
                                     time_point now)
{
    const std::uint64_t hash = protocol::hash_of(transfer.key);
    auto* service = state_.services.find(transfer.key.service);
    if (service == nullptr ||
        state_.owners.owner_of(hash) != state_.settings.self)
    {
        // Until both views agree: a flow transferred both ways would be lost.
        return false;
    }
    flow_slot slot = state_.flows.find(transfer.key, hash);
    std::optional<held_flow> waiting;
    if (slot != state::no_flow)
    {
        const flow_record& own = state_.flows[slot];
        if (own.state == flow_state::awaiting_owner)
        {
            waiting = state_.held.find(hash);
        }
        const auto own_age = elapsed_since(own.opened_ms, now);
        const bool is_new = own.state == flow_state::opening && !own.has_data;
        const bool older =
            own_age >= std::chrono::milliseconds(transfer.age_ms);
        if (own.state != flow_state::moved && !waiting && (!is_new || older))
        {
            apply_transferred_end(state_.flows[slot], transfer, now);
            return true;
        }
        // The flow returns, or is older than a repeated SYN that arrived here.
        erase(slot);
    }
    slot = state_.flows.insert(transfer.key, hash);
    if (slot == state::no_flow)
    {
        return false;
    }
    ++service->flows;
    flow_record& added = state_.flows[slot];
    bind(added, transfer.upstream, nullptr);
    added.state =
        transfer.has_data ? flow_state::established : flow_state::opening;
    added.has_data = transfer.has_data;
    added.work = transfer.work;
    added.acknowledgement = transfer.acknowledgement;
    added.opened_ms = to_record_ms(now) - transfer.age_ms;
    added.last_packet_ms = to_record_ms(now);
    ++state_.counters.flows_adopted;
    report_observation(added, flow_adopted{}, now);
    apply_transferred_end(added, transfer, now);
    added.is_exception = !added.end_reported && needs_pin(added);
    if (added.is_exception)
    {
        state_.pins.queue({slot, hash});
    }
    if (waiting)
    {
        // Releases the packet that was held until the owner is known.
        state_.held.erase(*waiting);
        state_.pending_effects.push_back(release_held{
            waiting->ticket, forward(slot, placement_reason::existing_flow),
            now - waiting->held_since});
    }
    return true;
}

void flow_lifecycle::apply_transferred_end(
    flow_record& flow, const protocol::flow_transfer& transfer, time_point now)
{
    flow.finished = flow.finished || transfer.finished;
    if (!transfer.ended || flow.state != flow_state::established)
    {
        return;
    }
    flow.state = flow_state::closing;
    report_end(flow, flow_end::completed, now);
}

void flow_lifecycle::complete_transfer(flow_reference flow, time_point now)
{
    flow_record& record = state_.flows[flow.slot];
    if (record.is_exception)
    {
        // Kept as first backup: the new owner pins only as its budget allows.
        const instance_id owner = state_.owners.owner_of(flow.hash);
        const auto& upstream = state_.addresses[record.upstream];
        state_.kept_pins.insert(
            owner, {flow.hash, record.service, upstream.upstream}, now);
    }
    // Its pins stay with the record: the new owner needs a while for its own.
    report_end(record, flow_end::moved, now);
    record.state = flow_state::moved;
    record.is_exception = false;
    record.last_packet_ms = to_record_ms(now);
}

void flow_lifecycle::apply_hold_outcome(const hold_outcome& outcome,
                                        time_point now)
{
    const auto waiting = state_.held.find(outcome.ticket);
    if (!waiting)
    {
        return;
    }
    state_.held.erase(*waiting);
    const flow_slot slot = waiting->flow.slot;
    packet_decision decision;
    if (const auto* place = std::get_if<placed>(&outcome.decision))
    {
        ++state_.counters.flows_opened;
        decision = start_flow(slot, *place, outcome.ticket, now);
        if (std::holds_alternative<held>(decision))
        {
            return;
        }
    }
    else
    {
        const bool was_forwarded = state_.flows[slot].was_forwarded;
        decision = reject(outcome.decision, was_forwarded);
        erase(slot);
    }
    state_.pending_effects.push_back(
        release_held{outcome.ticket, decision, outcome.waited});
}

void flow_lifecycle::handle_pin_confirmation(flow_reference flow,
                                             time_point now)
{
    const auto waiting = state_.held.find(flow.hash);
    if (waiting && state_.flows.holds(flow.slot, flow.hash) &&
        state_.flows[flow.slot].state == flow_state::awaiting_pin)
    {
        finish_wait(*waiting, now);
    }
}

void flow_lifecycle::finish_wait(const held_flow& waiting, time_point now)
{
    const flow_slot slot = waiting.flow.slot;
    state_.held.erase(waiting);
    state_.flows[slot].state = flow_state::established;
    const packet_decision decision =
        forward(slot, placement_reason::default_choice);
    state_.pending_effects.push_back(
        release_held{waiting.ticket, decision, now - waiting.held_since});
}

void flow_lifecycle::check_pin_waits(time_point now)
{
    std::vector<held_flow> over;
    for (const auto& [ticket, waiting] : state_.held.all())
    {
        const flow_record& record = state_.flows[waiting.flow.slot];
        if (record.state != flow_state::awaiting_pin)
        {
            continue;
        }
        if (state_.pins.has_outdated_backups(record))
        {
            state_.pins.queue_urgent(waiting.flow);
        }
        if (record.first_acked || !state_.pins.has_backup(record.hash) ||
            now >= waiting.limit)
        {
            over.push_back(waiting);
        }
    }
    std::sort(over.begin(), over.end(),
              [](const held_flow& left, const held_flow& right)
              { return left.ticket < right.ticket; });
    for (const held_flow& waiting : over)
    {
        flow_record& record = state_.flows[waiting.flow.slot];
        if (record.first_acked || !state_.pins.has_backup(record.hash))
        {
            finish_wait(waiting, now);
            continue;
        }
        state_.held.erase(waiting);
        report_end(record, flow_end::cancelled, now);
        erase(waiting.flow.slot);
        state_.pending_effects.push_back(
            release_held{waiting.ticket, dropped{drop_reason::awaiting_backup},
                         now - waiting.held_since});
    }
}

void flow_lifecycle::cancel_held(flow_slot slot, time_point now)
{
    flow_record& record = state_.flows[slot];
    const auto waiting = state_.held.find(record.hash);
    if (record.state == flow_state::waiting)
    {
        state_.traffic.cancel(waiting->ticket);
    }
    else
    {
        report_end(record, flow_end::cancelled, now);
    }
    state_.held.erase(*waiting);
    state_.pending_effects.push_back(
        release_held{waiting->ticket, dropped{drop_reason::cancelled},
                     now - waiting->held_since});
    erase(slot);
}

void flow_lifecycle::handle_answer(const answer_seen& answer, time_point now,
                                   router_effects& effects)
{
    const auto flow = state_.requests.find(answer.request);
    if (!flow || state_.flows[flow->slot].service != answer.service)
    {
        effects.push_back(discard_answer{answer.request});
        return;
    }
    flow_record& record = state_.flows[flow->slot];
    effects.push_back(deliver_answer{answer.request});
    if (!answer.complete)
    {
        return;
    }
    if (record.upstream != no_upstream_position)
    {
        report_end(record, answer.shed ? flow_end::shed : flow_end::completed,
                   now);
    }
    record.has_request = false;
    state_.requests.erase(answer.request);
}

void flow_lifecycle::cancel_request(const request_cancelled& cancelled,
                                    time_point now)
{
    const auto flow = state_.requests.find(cancelled.request);
    if (!flow)
    {
        return;
    }
    flow_record& record = state_.flows[flow->slot];
    if (record.state == flow_state::waiting ||
        record.state == flow_state::awaiting_pin)
    {
        cancel_held(flow->slot, now);
        return;
    }
    report_end(record, flow_end::cancelled, now);
    record.has_request = false;
    state_.requests.erase(cancelled.request);
}

void flow_lifecycle::report_end(flow_record& record, flow_end end,
                                time_point now)
{
    if (record.end_reported || record.upstream == no_upstream_position)
    {
        return;
    }
    record.end_reported = true;
    state_.counters.flows_completed += end == flow_end::completed ? 1 : 0;
    report_observation(
        record, flow_ended{end, elapsed_since(record.opened_ms, now)}, now);
}

void flow_lifecycle::bind(flow_record& record, upstream_id upstream,
                          const transport::endpoint* address)
{
    record.upstream = state_.addresses.find_or_add(record.service, upstream);
    auto& bound = state_.addresses[record.upstream];
    ++bound.flows;
    if (!bound.known && address != nullptr)
    {
        bound.address = *address;
        bound.known = true;
    }
}

void flow_lifecycle::unbind(flow_record& record)
{
    if (record.upstream != no_upstream_position)
    {
        state_.addresses.release(record.upstream);
        record.upstream = no_upstream_position;
    }
}

void flow_lifecycle::erase(flow_slot slot)
{
    flow_record& record = state_.flows[slot];
    if (record.has_request)
    {
        state_.requests.erase_flow(record.hash);
    }
    state_.pins.remove_pins(record);
    unbind(record);
    --state_.services.find(record.service)->flows;
    state_.flows.erase(slot);
}

} // namespace boragestand::coordination
