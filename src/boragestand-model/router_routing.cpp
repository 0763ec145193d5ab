#include "router_routing.hpp"

#include <utility>

namespace boragestand::model
{

using namespace std::chrono_literals;
using namespace coordination;

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration max_configuration_delay = 2s;

wall_time to_wall_time(time_point now)
{
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch()));
}

} // namespace

router_routing::router_routing(event_queue& events,
                               const network_delays& delays, std::uint64_t seed,
                               bool with_pins, delivery deliver)
    : events_(events)
    , delays_(delays)
    , random_(seed)
    , seed_(seed)
    , with_pins_(with_pins)
    , deliver_(std::move(deliver))
    , instances_(owner_count + 1)
{
    for (unsigned instance = 1; instance <= owner_count; ++instance)
    {
        start(instance);
    }
}

void router_routing::handle_packet(unsigned instance, const packet_event& event)
{
    router_instance& own = instances_[instance];
    if (!own.router)
    {
        return;
    }
    packet_event received = event;
    received.now = events_.now();
    received.ticket = hold_ticket{next_ticket_++};
    apply_decision(instance, received, own.router->decide(received));
}

void router_routing::announce(unsigned instance,
                              const protocol::upstream_record& record)
{
    step(instance, upstream_announced{record});
}

void router_routing::configure(
    std::shared_ptr<const state::configuration> configuration)
{
    const bool first = !configuration_;
    configuration_ = std::move(configuration);
    for (unsigned instance = 1; instance <= owner_count; ++instance)
    {
        const duration delay(random_.below(
            static_cast<std::uint64_t>(max_configuration_delay.count())));
        events_.schedule_after(
            first ? duration(0) : delay, [this, instance]
            { step(instance, configuration_received{configuration_}); });
    }
}

void router_routing::start(unsigned instance)
{
    router_settings settings;
    settings.self = instance_id{instance};
    settings.incarnation =
        1 + static_cast<std::uint64_t>(
                to_wall_time(events_.now()).time_since_epoch().count());
    for (unsigned id = 1; id <= owner_count; ++id)
    {
        settings.members.push_back({instance_id{id},
                                    "entry-" + std::to_string(id),
                                    data_centre_id{1}});
    }
    settings.flow_capacity = 50000;
    settings.seed = seed_ + instance;
    settings.faults.no_pins = !with_pins_;
    router_instance& started = instances_[instance];
    started.router = std::make_unique<flow_router>(settings);
    ++started.generation;
    if (configuration_)
    {
        step(instance, configuration_received{configuration_});
    }
    tick(instance, started.generation);
}

void router_routing::stop(unsigned instance)
{
    step(instance, stop_requested{});
}

void router_routing::kill(unsigned instance)
{
    router_instance& ended = instances_[instance];
    if (!ended.router)
    {
        return;
    }
    ended.previous_bytes += ended.router->counters().control_bytes_sent;
    ended.router.reset();
    ended.held.clear();
}

bool router_routing::runs(unsigned instance) const
{
    return instances_[instance].router != nullptr;
}

std::uint64_t router_routing::control_bytes() const
{
    std::uint64_t sum = 0;
    for (const router_instance& instance : instances_)
    {
        sum += instance.previous_bytes;
        sum += instance.router ? instance.router->counters().control_bytes_sent
                               : 0;
    }
    return sum;
}

void router_routing::step(unsigned instance, event_content what)
{
    router_instance& own = instances_[instance];
    if (!own.router)
    {
        return;
    }
    const router_event event{events_.now(), to_wall_time(events_.now()),
                             std::move(what)};
    apply_effects(instance, own.router->step(event));
}

void router_routing::tick(unsigned instance, std::uint64_t generation)
{
    if (!instances_[instance].router ||
        instances_[instance].generation != generation)
    {
        return;
    }
    step(instance, coordination::tick{});
    events_.schedule_after(tick_interval, [this, instance, generation]
                           { tick(instance, generation); });
}

void router_routing::apply_effects(unsigned instance, router_effects effects)
{
    for (router_effect& effect : effects)
    {
        if (const auto* sent = std::get_if<send_to_instance>(&effect))
        {
            const unsigned to = sent->instance.value;
            if (connected(instance, to))
            {
                events_.schedule_after(delays_.internal,
                                       [this, to, envelope = sent->envelope]
                                       { step(to, peer_message{envelope}); });
            }
            continue;
        }
        if (const auto* released = std::get_if<release_held>(&effect))
        {
            auto& held = instances_[instance].held;
            const auto found = held.extract(released->ticket.value);
            if (!found.empty())
            {
                apply_decision(instance, found.mapped(), released->decision);
            }
            continue;
        }
        if (std::holds_alternative<stop_completed>(effect))
        {
            kill(instance);
            return;
        }
    }
}

void router_routing::apply_decision(unsigned instance,
                                    const packet_event& event,
                                    const packet_decision& decision)
{
    if (const auto* upstream = std::get_if<forward_to_upstream>(&decision))
    {
        deliver_(instance, upstream->upstream, event);
        return;
    }
    if (std::holds_alternative<held>(decision))
    {
        instances_[instance].held[event.ticket.value] = event;
        return;
    }
    const auto* passed = std::get_if<forward_to_instance>(&decision);
    if (passed == nullptr || !connected(instance, passed->instance.value))
    {
        return;
    }
    packet_event next = event;
    next.header.hops = passed->hops;
    next.header.forwarded_by = instance_id{instance};
    events_.schedule_after(delays_.internal,
                           [this, to = passed->instance.value, next]
                           { handle_packet(to, next); });
}

bool router_routing::connected(unsigned left, unsigned right) const
{
    return partition_after_ == 0 ||
           (left > partition_after_) == (right > partition_after_);
}

} // namespace boragestand::model
