#include "coordination/flow_router.hpp"

#include "coordination/flow_sweep.hpp"
#include "coordination/packet_path.hpp"
#include "coordination/peer_exchange.hpp"
#include "coordination/router_clock.hpp"

#include <utility>

namespace boragestand::coordination
{

namespace
{

/// Pins of a dead owner are kept this long for flows that send nothing.
constexpr duration orphaned_pin_retention = std::chrono::seconds(300);
/// A planned stop ends when no packet has come for this long.
constexpr duration idle_before_stop = std::chrono::seconds(1);
/// The last instance cannot hand over half-closed flows. A caller that is still
/// receiving its answer acknowledges parts of it more often than this.
constexpr duration half_closed_idle_before_stop = std::chrono::seconds(5);
constexpr duration min_fetch_interval = std::chrono::seconds(1);

} // namespace

struct flow_router::implementation
{
    explicit implementation(const router_settings& settings)
        : state(settings)
        , lifecycle(state)
        , packets(state, lifecycle)
        , sweep(state, lifecycle)
        , exchange(state, lifecycle)
    {
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void operator()(const tick& /*event*/);
    void operator()(const peer_message& event);
    void operator()(const configuration_received& event);
    void operator()(const upstream_announced& event);
    void operator()(const endpoint_answered& event);
    void operator()(const director_acknowledged& event);
    void operator()(const stop_requested& /*event*/);
    void operator()(const answer_seen& event);
    void operator()(const request_cancelled& event);

    void check_peer_revision(const protocol::entry_envelope& envelope);
    void apply_view_changes(std::size_t first);
    void handle_member_death(instance_id id);
    void drop_all_flows();
    void check_stop();

    router_state state;
    flow_lifecycle lifecycle;
    packet_path packets;
    flow_sweep sweep;
    peer_exchange exchange;
    std::uint64_t view_generation{0};
    std::uint64_t revision{0};
    time_point next_fetch{};
    time_point stop_since{};
    bool stopping{false};
    bool stopped{false};

    // State of the step in progress.
    time_point now{};
    wall_time wall_now{};
    router_effects effects;
};

void flow_router::implementation::operator()(const tick& /*event*/)
{
    const std::size_t first = effects.size();
    state.members.tick(now, effects);
    apply_view_changes(first);
    state.owners.expire(now, state.settings.previous_owner_time);
    state.kept_pins.expire(now);
    for (const hold_outcome& outcome : state.traffic.poll(now, wall_now))
    {
        lifecycle.apply_hold_outcome(outcome, now);
    }
    lifecycle.check_pin_waits(now);
    packets.check_owner_waits(now);
    sweep.tick(now);
    state.pins.tick(state.members, exchange.has_budget(), now, effects);
    state.transfers.tick(state.members, now, effects);
    exchange.tick(now, effects);
    for (director_request& request : state.traffic.due_director_requests(now))
    {
        effects.push_back(request_director{std::move(request)});
    }
    for (traffic_event& each : state.traffic.take_events())
    {
        effects.push_back(log_decision{std::move(each.event), each.service,
                                       each.upstream, std::move(each.reason)});
    }
    check_stop();
}

void flow_router::implementation::operator()(const peer_message& event)
{
    const std::size_t first = effects.size();
    const bool current = state.members.receive(event.envelope, now, effects);
    apply_view_changes(first);
    if (current)
    {
        exchange.receive(event.envelope, now, effects);
        check_peer_revision(event.envelope);
    }
}

void flow_router::implementation::check_peer_revision(
    const protocol::entry_envelope& envelope)
{
    std::uint64_t peer_revision = 0;
    if (const auto* probe = std::get_if<protocol::probe>(&envelope.message))
    {
        peer_revision = probe->revision;
    }
    if (const auto* ack = std::get_if<protocol::probe_ack>(&envelope.message))
    {
        peer_revision = ack->revision;
    }
    if (peer_revision > revision && now >= next_fetch)
    {
        next_fetch = now + min_fetch_interval;
        effects.push_back(fetch_configuration{envelope.from, peer_revision});
    }
}

void flow_router::implementation::operator()(
    const configuration_received& event)
{
    if (!event.configuration || event.configuration->revision <= revision)
    {
        return;
    }
    revision = event.configuration->revision;
    state.members.set_revision(revision);
    state.traffic.apply(event.configuration, now, wall_now);
    state.services.apply(*event.configuration);
}

void flow_router::implementation::operator()(const upstream_announced& event)
{
    exchange.announce(event.record, now, effects);
}

void flow_router::implementation::operator()(const endpoint_answered& event)
{
    state.traffic.apply(event.report, now);
}

void flow_router::implementation::operator()(const director_acknowledged& event)
{
    state.traffic.acknowledge_director_request(event.service, event.episode);
}

void flow_router::implementation::operator()(const stop_requested& /*event*/)
{
    if (stopping)
    {
        return;
    }
    stopping = true;
    stop_since = now;
    const std::size_t first = effects.size();
    state.members.leave(now, effects);
    apply_view_changes(first);
}

void flow_router::implementation::operator()(const answer_seen& event)
{
    lifecycle.handle_answer(event, now, effects);
}

void flow_router::implementation::operator()(const request_cancelled& event)
{
    lifecycle.cancel_request(event, now);
}

void flow_router::implementation::apply_view_changes(std::size_t first)
{
    if (state.members.take_lost_ownership())
    {
        drop_all_flows();
        // The other instances owned its flows in the meantime.
        auto others = state.members.eligible();
        std::erase(others, state.settings.self);
        state.owners.set_view(others, now);
        view_generation = 0;
    }
    if (state.members.take_declared_dead())
    {
        sweep.repin_all();
    }
    const auto returned = state.members.take_returned_members();
    if (!returned.empty())
    {
        state.owners.add_returned(returned, now);
    }
    if (state.members.generation() != view_generation)
    {
        view_generation = state.members.generation();
        state.owners.set_view(state.members.eligible(), now);
        state.transfers.cancel_offers();
    }
    const std::size_t last = effects.size();
    for (std::size_t index = first; index < last; ++index)
    {
        const auto* changed = std::get_if<member_changed>(&effects[index]);
        if (changed == nullptr)
        {
            continue;
        }
        const instance_id member = changed->member;
        if (changed->state == protocol::member_state::dead)
        {
            handle_member_death(member);
        }
        if (changed->state == protocol::member_state::alive)
        {
            exchange.send_state_to(member, now, effects);
        }
    }
}

void flow_router::implementation::handle_member_death(instance_id id)
{
    state.traffic.forget_load_of(id);
    state.kept_pins.mark_orphaned(id, now + orphaned_pin_retention);
    state.pins.handle_member_death(id);
}

void flow_router::implementation::drop_all_flows()
{
    for (state::flow_slot slot = 0; slot < state.flows.slot_count(); ++slot)
    {
        state::flow_record& record = state.flows[slot];
        if (record.state == state::flow_state::free)
        {
            continue;
        }
        if (state.held.find(record.hash))
        {
            lifecycle.cancel_held(slot, now);
            continue;
        }
        lifecycle.report_end(record, flow_end::moved, now);
        lifecycle.erase(slot);
    }
}

void flow_router::implementation::check_stop()
{
    if (!stopping || stopped)
    {
        return;
    }
    auto successors = state.members.eligible();
    std::erase(successors, state.settings.self);
    const bool last = successors.empty();
    bool all_moved = true;
    for (state::flow_slot slot = 0;
         all_moved && slot < state.flows.slot_count(); ++slot)
    {
        const state::flow_record& record = state.flows[slot];
        all_moved = record.state == state::flow_state::free ||
                    record.state == state::flow_state::moved ||
                    record.state == state::flow_state::closing ||
                    (last && record.finished &&
                     elapsed_since(record.last_packet_ms, now) >=
                         half_closed_idle_before_stop);
    }
    const bool quiet = now - state.last_packet >= idle_before_stop &&
                       now - stop_since >= idle_before_stop;
    if (state.flows.size() == 0 ? now - stop_since >= idle_before_stop
                                : all_moved && quiet)
    {
        stopped = true;
        effects.push_back(stop_completed{state.transfers.flows_transferred()});
    }
}

flow_router::flow_router(const router_settings& settings)
    : implementation_(std::make_unique<implementation>(settings))
{
}

flow_router::~flow_router() = default;
flow_router::flow_router(flow_router&&) noexcept = default;
flow_router& flow_router::operator=(flow_router&&) noexcept = default;

packet_decision flow_router::decide(const packet_event& event)
{
    return implementation_->packets.decide(event);
}

router_effects flow_router::step(const router_event& event)
{
    auto& impl = *implementation_;
    impl.now = event.now;
    impl.wall_now = event.wall_now;
    impl.effects = std::exchange(impl.state.pending_effects, {});
    std::visit(impl, event.content);
    impl.exchange.charge_budget(impl.effects, 0, event.now);
    impl.effects.insert(impl.effects.end(), impl.state.pending_effects.begin(),
                        impl.state.pending_effects.end());
    impl.state.pending_effects.clear();
    return std::move(impl.effects);
}

std::size_t flow_router::flow_count() const
{
    return implementation_->state.flows.size();
}

std::uint64_t flow_router::revision() const
{
    return implementation_->revision;
}

std::vector<protocol::member_update> flow_router::view() const
{
    return implementation_->state.members.view();
}

const router_counters& flow_router::counters() const
{
    auto& state = implementation_->state;
    state.counters.pins_sent = state.pins.pins_sent();
    return state.counters;
}

const traffic_policy& flow_router::traffic() const
{
    return implementation_->state.traffic;
}

} // namespace boragestand::coordination
