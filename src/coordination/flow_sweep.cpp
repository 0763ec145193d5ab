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

/// Ticks in which the table is visited once; 64 of 10 ms are shorter than the
/// pin age.
constexpr std::size_t ticks_per_pass = 64;
constexpr std::size_t least_share = 256;
/// Bounds the time of one tick to about a millisecond.
constexpr std::size_t largest_share = 8192;
/// Time for which ended flows stay for late packets.
constexpr duration linger = std::chrono::seconds(5);
/// A caller that closed its direction may still wait for its answer.
constexpr duration half_closed_linger = std::chrono::seconds(60);
/// Longer than the pauses between the first five SYNs of a caller.
constexpr duration opening_linger = std::chrono::seconds(20);
/// Peers learn of a new settled set before the pins that it saves are removed.
constexpr duration settled_announcement = std::chrono::seconds(5);
constexpr duration settle_interval = std::chrono::milliseconds(100);

} // namespace

std::size_t flow_sweep::share_of_table() const
{
    return std::clamp(state_.flows.slot_count() / ticks_per_pass, least_share,
                      largest_share);
}

void flow_sweep::tick(time_point now)
{
    state_.flows.visit_next(cursor_, share_of_table(),
                            [&](flow_slot slot) { visit(slot, now); });
    settle(now);
}

void flow_sweep::repin_all()
{
    repin_left_ = state_.flows.slot_count();
}

void flow_sweep::visit(flow_slot slot, time_point now)
{
    repin_left_ -= repin_left_ > 0 ? 1 : 0;
    if (end_if_over(slot, now))
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
        since(record.opened_ms, now) > limit)
    {
        record.is_long = true;
        lifecycle_.note(record, flow_became_long{}, now);
    }
    check_pins(slot, now);
    check_owner(slot, now);
}

bool flow_sweep::end_if_over(flow_slot slot, time_point now)
{
    flow_record& record = state_.flows[slot];
    const duration idle = since(record.last_packet_ms, now);
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
    lifecycle_.note_end(record, end, now);
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
            settled_announcement &&
        !lifecycle_.needs_pin(record))
    {
        record.is_exception = false;
        state_.pins.remove(record);
        return;
    }
    if (repin_left_ > 0)
    {
        record.backups = {};
        record.first_acked = false;
        record.second_acked = false;
    }
    if (since(record.opened_ms, now) > 2 * state_.settings.pin_age &&
        state_.pins.misplaced(record))
    {
        state_.pins.add_now({slot, record.hash});
    }
}

void flow_sweep::check_owner(flow_slot slot, time_point now)
{
    const flow_record& record = state_.flows[slot];
    if (record.transferring || record.end_reported ||
        !state_.members.fresh(now))
    {
        return;
    }
    const instance_id owner = state_.owners.owner(record.hash);
    if (owner.value != 0 && owner != state_.settings.self)
    {
        state_.transfers.offer({slot, record.hash}, owner, now);
    }
}

void flow_sweep::settle(time_point now)
{
    if (moving_)
    {
        const auto* service = state_.services.find(*moving_);
        task_ = state_.settled.advance(
            *moving_, state_.traffic.active_set(*moving_), service->flows, now);
    }
    if (moving_ && task_ == settled_sets::task::count)
    {
        count_flows(now);
        return;
    }
    if (moving_ && task_ == settled_sets::task::pin)
    {
        pin_new_exceptions(now);
        return;
    }
    moving_.reset();
    if (now < next_settle_)
    {
        return;
    }
    next_settle_ = now + settle_interval;
    for (const auto& service : state_.services.all())
    {
        const service_id id = service.definition.id;
        task_ = state_.settled.advance(id, state_.traffic.active_set(id),
                                       service.flows, now);
        if (task_ != settled_sets::task::none)
        {
            moving_ = id;
            task_cursor_ = 0;
            unpinned_ = 0;
            return;
        }
    }
}

void flow_sweep::count_flows(time_point now)
{
    state_.flows.visit_next(
        task_cursor_, share_of_table(),
        [&](flow_slot slot)
        {
            const flow_record& record = state_.flows[slot];
            if (record.service != *moving_ || record.end_reported ||
                record.upstream == no_upstream_position)
            {
                return;
            }
            const auto& upstream = state_.addresses[record.upstream];
            const bool lives =
                state_.traffic.address_of(record.service, upstream.upstream)
                    .has_value();
            if (lives)
            {
                state_.settled.count(*moving_, record.hash, upstream.upstream,
                                     record.is_exception);
            }
        });
    if (task_cursor_ == 0)
    {
        state_.settled.finish_count(*moving_, now);
        unpinned_ = 0;
    }
}

void flow_sweep::pin_new_exceptions(time_point now)
{
    state_.flows.visit_next(
        task_cursor_, share_of_table(),
        [&](flow_slot slot)
        {
            flow_record& record = state_.flows[slot];
            if (record.service != *moving_ || record.end_reported ||
                record.upstream == no_upstream_position ||
                record.state == flow_state::moved)
            {
                return;
            }
            const auto upstream = state_.addresses[record.upstream].upstream;
            const bool exception =
                state_.settled.is_exception(*moving_, record.hash, upstream);
            if (exception && !record.is_exception)
            {
                record.is_exception = true;
                state_.pins.add_now({slot, record.hash});
            }
            // Flows at their default under the new set may stay unpinned.
            const bool unconfirmed =
                record.pin_queued ||
                (record.backups[0] != 0 && !record.first_acked);
            unpinned_ += exception && unconfirmed ? 1 : 0;
        });
    if (task_cursor_ != 0)
    {
        return;
    }
    if (unpinned_ == 0)
    {
        state_.settled.commit(*moving_, now);
    }
    unpinned_ = 0;
}

} // namespace boragestand::coordination
