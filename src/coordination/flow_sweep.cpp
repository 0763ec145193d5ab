#include "coordination/flow_sweep.hpp"

#include "coordination/router_clock.hpp"

#include <algorithm>

namespace boragestand::coordination
{

using state::flow_record;
using state::flow_slot;
using state::flow_state;

namespace
{

/// Ticks in which the table is scanned once; 64 ticks of 10 ms are shorter than
/// the pin age.
constexpr std::size_t ticks_per_pass = 64;
constexpr std::size_t min_slots_per_tick = 256;
/// Bounds the time of one tick to about a millisecond.
constexpr std::size_t max_slots_per_tick = 8192;
/// Time for which the records of ended flows are kept for late packets.
constexpr duration linger = std::chrono::seconds(5);
/// A caller that closed its direction may still wait for its answer.
constexpr duration half_closed_linger = std::chrono::seconds(60);
/// Longer than the intervals between the first five SYNs of a caller.
constexpr duration opening_linger = std::chrono::seconds(20);
/// Time for peers to receive a new settled set before the pins that it makes
/// unnecessary are removed.
constexpr duration settled_announcement_time = std::chrono::seconds(5);
constexpr duration settle_interval = std::chrono::milliseconds(100);

} // namespace

std::size_t flow_sweep::slots_per_tick() const
{
    return std::clamp(state_.flows.slot_count() / ticks_per_pass,
                      min_slots_per_tick, max_slots_per_tick);
}

void flow_sweep::tick(time_point now)
{
    state_.flows.visit_next(cursor_, slots_per_tick(),
                            [&](flow_slot slot) { check_flow(slot, now); });
    advance_settled_sets(now);
}

void flow_sweep::repin_all()
{
    slots_to_repin_ = state_.flows.slot_count();
}

void flow_sweep::check_flow(flow_slot slot, time_point now)
{
    slots_to_repin_ -= slots_to_repin_ > 0 ? 1 : 0;
    if (remove_if_ended(slot, now))
    {
        return;
    }
    flow_record& record = state_.flows[slot];
    if (record.state == flow_state::waiting ||
        record.state == flow_state::awaiting_pin ||
        record.state == flow_state::awaiting_owner ||
        record.state == flow_state::moved)
    {
        return;
    }
    const auto* service = state_.services.find(record.service);
    const auto limit =
        std::chrono::milliseconds(service->definition.short_limit_ms);
    if (!record.is_long && !record.end_reported &&
        elapsed_since(record.opened_ms, now) > limit)
    {
        record.is_long = true;
        lifecycle_.report_observation(record, flow_became_long{}, now);
    }
    check_pins(slot, now);
    check_owner(slot, now);
}

bool flow_sweep::remove_if_ended(flow_slot slot, time_point now)
{
    flow_record& record = state_.flows[slot];
    const duration idle = elapsed_since(record.last_packet_ms, now);
    const auto* service = state_.services.find(record.service);
    const duration idle_limit =
        std::chrono::milliseconds(service->definition.idle_limit_ms);
    duration limit = idle_limit;
    flow_end end = flow_end::idle;
    switch (record.state)
    {
    case flow_state::waiting:
    case flow_state::awaiting_pin:
    case flow_state::awaiting_owner:
        return false;
    case flow_state::closing:
    case flow_state::moved:
        limit = linger;
        end = flow_end::completed;
        break;
    case flow_state::opening:
        limit = std::min(idle_limit, opening_linger);
        end = flow_end::unanswered;
        break;
    default:
        if (record.finished)
        {
            limit = std::min(idle_limit, half_closed_linger);
            end = flow_end::completed;
        }
        break;
    }
    if (idle < limit || record.transferring)
    {
        return false;
    }
    lifecycle_.report_end(record, end, now);
    lifecycle_.erase(slot);
    return true;
}

void flow_sweep::check_pins(flow_slot slot, time_point now)
{
    flow_record& record = state_.flows[slot];
    if (!record.is_exception)
    {
        return;
    }
    if (now - state_.settled.changed_at(record.service) >
            settled_announcement_time &&
        !lifecycle_.needs_pin(record))
    {
        record.is_exception = false;
        state_.pins.remove_pins(record);
        return;
    }
    if (slots_to_repin_ > 0)
    {
        record.backups = {};
        record.first_acked = false;
        record.second_acked = false;
    }
    if (elapsed_since(record.opened_ms, now) > 2 * state_.settings.pin_age &&
        state_.pins.has_outdated_backups(record))
    {
        state_.pins.queue({slot, record.hash});
    }
}

void flow_sweep::check_owner(flow_slot slot, time_point now)
{
    const flow_record& record = state_.flows[slot];
    if (record.transferring || record.end_reported ||
        !state_.members.is_fresh(now))
    {
        return;
    }
    const instance_id owner = state_.owners.owner_of(record.hash);
    if (owner.value != 0 && owner != state_.settings.self)
    {
        state_.transfers.offer({slot, record.hash}, owner, now);
    }
}

void flow_sweep::advance_settled_sets(time_point now)
{
    if (moving_service_)
    {
        const auto* service = state_.services.find(*moving_service_);
        move_task_ = state_.settled.advance(
            *moving_service_, state_.traffic.active_set(*moving_service_),
            service->flows, now);
    }
    if (moving_service_ && move_task_ == settled_sets::task::count)
    {
        count_flows(now);
        return;
    }
    if (moving_service_ && move_task_ == settled_sets::task::pin)
    {
        pin_new_exceptions(now);
        return;
    }
    moving_service_.reset();
    if (now < next_settle_)
    {
        return;
    }
    next_settle_ = now + settle_interval;
    for (const auto& service : state_.services.entries())
    {
        const service_id id = service.definition.id;
        move_task_ = state_.settled.advance(id, state_.traffic.active_set(id),
                                            service.flows, now);
        if (move_task_ != settled_sets::task::none)
        {
            moving_service_ = id;
            move_cursor_ = 0;
            unconfirmed_pins_ = 0;
            return;
        }
    }
}

void flow_sweep::count_flows(time_point now)
{
    state_.flows.visit_next(
        move_cursor_, slots_per_tick(),
        [&](flow_slot slot)
        {
            const flow_record& record = state_.flows[slot];
            if (record.service != *moving_service_ || record.end_reported ||
                record.upstream == no_upstream_position)
            {
                return;
            }
            const auto& upstream = state_.addresses[record.upstream];
            const bool is_live =
                state_.traffic.address_of(record.service, upstream.upstream)
                    .has_value();
            if (is_live)
            {
                state_.settled.count_flow(*moving_service_, record.hash,
                                          upstream.upstream,
                                          record.is_exception);
            }
        });
    if (move_cursor_ == 0)
    {
        state_.settled.finish_count(*moving_service_, now);
        unconfirmed_pins_ = 0;
    }
}

void flow_sweep::pin_new_exceptions(time_point now)
{
    state_.flows.visit_next(
        move_cursor_, slots_per_tick(),
        [&](flow_slot slot)
        {
            flow_record& record = state_.flows[slot];
            if (record.service != *moving_service_ || record.end_reported ||
                record.upstream == no_upstream_position ||
                record.state == flow_state::moved)
            {
                return;
            }
            const auto upstream = state_.addresses[record.upstream].upstream;
            const bool exception = state_.settled.is_exception(
                *moving_service_, record.hash, upstream);
            if (exception && !record.is_exception)
            {
                record.is_exception = true;
                state_.pins.queue({slot, record.hash});
            }
            // Flows at their default under the new set may stay unpinned.
            const bool unconfirmed =
                record.pin_queued ||
                (record.backups[0] != 0 && !record.first_acked);
            unconfirmed_pins_ += exception && unconfirmed ? 1 : 0;
        });
    if (move_cursor_ != 0)
    {
        return;
    }
    if (unconfirmed_pins_ == 0)
    {
        state_.settled.commit(*moving_service_, now);
    }
    unconfirmed_pins_ = 0;
}

} // namespace boragestand::coordination
