#include "flow_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace boragestand::coordination::testing
{

using namespace std::chrono_literals;
using protocol::ip_protocol;

namespace
{

transport::endpoint service_address(service_id service)
{
    return {0x0a000000U + service.value, 443};
}

state::service make_service(service_id id, std::string name, ip_protocol kind)
{
    state::service service;
    service.id = id;
    service.name = std::move(name);
    service.address = service_address(id);
    service.protocol = kind;
    service.short_limit_ms = 500;
    service.idle_limit_ms = 30000;
    return service;
}

upstream_id upstream_of(service_id service, unsigned number)
{
    return protocol::upstream_id_of(std::to_string(service.value) + "-" +
                                    std::to_string(number));
}

} // namespace

flow_simulation::flow_simulation(const simulation_options& options)
    : options_(options), random_(options.seed)
{
    auto configuration = std::make_shared<state::configuration>();
    configuration->revision = 1;
    configuration->services = {
        make_service(desk, "member-desk", ip_protocol::tcp),
        make_service(maps, "haul-maps", ip_protocol::tcp),
        make_service(orders, "orders", ip_protocol::udp)};
    configuration_ = configuration;
    instances_.resize(options.instances + 1);
    for (unsigned number = 1; number <= options.instances; ++number)
    {
        start(number);
    }
    for (unsigned number = 1; number <= options.desk_upstreams; ++number)
    {
        add_upstream(desk, number);
    }
    for (unsigned number = 1; number <= 4; ++number)
    {
        add_upstream(maps, number);
        add_upstream(orders, number);
    }
    run(3s);
    start_next_flow();
}

void flow_simulation::run(duration span)
{
    const time_point until = now_ + span;
    while (!queue_.empty() && queue_.top().at <= until)
    {
        const scheduled next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = until;
}

simulation_result flow_simulation::finish()
{
    new_flows_enabled_ = false;
    for (int second = 0; second < 60 && open_ > 0; ++second)
    {
        run(1s);
    }
    for (const simulated_instance& left : instances_)
    {
        result_.unfinished_stops += left.stopping ? 1 : 0;
    }
    for (auto& [number, flow] : flows_)
    {
        if (!flow.over)
        {
            end(flow, false, "stuck");
        }
    }
    return result_;
}

void flow_simulation::at(duration delay, action run)
{
    queue_.push({now_ + delay, ++order_, std::move(run)});
}

duration flow_simulation::latency()
{
    const auto most = static_cast<std::uint64_t>(options_.jitter.count()) + 1;
    return 500us + std::chrono::microseconds(random_.below(most));
}

bool flow_simulation::lost()
{
    return random_.fraction() * 100 < options_.loss_percent;
}

unsigned flow_simulation::side_of(unsigned instance) const
{
    return last_on_first_side_ != 0 && instance > last_on_first_side_ ? 1 : 0;
}

unsigned flow_simulation::side_of(const fake_upstream& upstream) const
{
    return last_on_first_side_ != 0 ? upstream.record.address.address & 1U : 0;
}

bool flow_simulation::reachable(unsigned left, unsigned right) const
{
    return side_of(left) == side_of(right);
}

std::vector<unsigned> flow_simulation::running(unsigned side) const
{
    std::vector<unsigned> found;
    for (unsigned number = 1; number < instances_.size(); ++number)
    {
        if (instances_[number].router && side_of(number) == side)
        {
            found.push_back(number);
        }
    }
    return found;
}

flow_router* flow_simulation::router(unsigned instance)
{
    return instances_[instance].router.get();
}

void flow_simulation::start_if_down(unsigned number)
{
    if (!instances_[number].router)
    {
        start(number);
    }
}

void flow_simulation::start(unsigned number)
{
    router_settings settings;
    settings.self = instance_id{number};
    settings.incarnation =
        1700000000000ULL +
        static_cast<std::uint64_t>(now_.time_since_epoch().count()) / 1000;
    for (unsigned id = 1; id <= options_.instances; ++id)
    {
        settings.members.push_back(
            {instance_id{id}, "i" + std::to_string(id), data_centre_id{1}});
    }
    settings.faults = options_.faults;
    settings.seed = options_.seed + number;
    settings.flow_capacity = 100000;
    settings.pin_bytes_per_second = options_.pin_bytes_per_second;
    settings.control_bytes_per_second = options_.control_bytes_per_second;
    simulated_instance& started = instances_[number];
    started.router = std::make_unique<flow_router>(settings);
    result_.unfinished_stops += started.stopping ? 1 : 0;
    started.stopping = false;
    ++started.generation;
    step(number, configuration_received{configuration_});
    tick(number, started.generation);
}

void flow_simulation::tick(unsigned number, std::uint64_t generation)
{
    simulated_instance& ticking = instances_[number];
    if (!ticking.router || ticking.generation != generation)
    {
        return;
    }
    if (now_ >= ticking.frozen_until)
    {
        step(number, coordination::tick{});
    }
    at(10ms, [this, number, generation] { tick(number, generation); });
}

void flow_simulation::step(unsigned number,
                           decltype(router_event::content) what)
{
    simulated_instance& stepped = instances_[number];
    if (!stepped.router)
    {
        return;
    }
    if (now_ < stepped.frozen_until)
    {
        // What arrives while the process is paused waits in its sockets.
        at(stepped.frozen_until - now_ + 1us,
           [this, number, what] { step(number, what); });
        return;
    }
    router_event event;
    event.now = now_;
    event.wall_now = wall_time(
        std::chrono::milliseconds(now_.time_since_epoch().count() / 1000));
    event.content = std::move(what);
    apply_effects(number, stepped.router->step(event));
}

void flow_simulation::apply_effects(unsigned from, router_effects effects)
{
    for (auto& effect : effects)
    {
        if (const auto* sent = std::get_if<send_to_instance>(&effect))
        {
            const unsigned to = sent->instance.value;
            const unsigned copies =
                random_.fraction() * 100 < options_.duplicate_percent ? 2 : 1;
            for (unsigned copy = 0; copy < copies; ++copy)
            {
                if (!lost() && reachable(from, to))
                {
                    at(latency(), [this, to, envelope = sent->envelope]
                       { step(to, peer_message{envelope}); });
                }
            }
        }
        if (const auto* released = std::get_if<release_held>(&effect))
        {
            auto& held = instances_[from].held;
            const auto found = held.find(released->ticket.value);
            if (found != held.end())
            {
                const packet_event event = found->second;
                held.erase(found);
                apply_decision(from, event, released->decision);
            }
        }
        if (std::holds_alternative<stop_completed>(effect))
        {
            instances_[from].stopping = false;
            instances_[from].router.reset();
            return;
        }
    }
}

void flow_simulation::kill(unsigned number)
{
    instances_[number].router.reset();
    instances_[number].held.clear();
    instances_[number].stopping = false;
    failure_times_.push_back(now_);
}

void flow_simulation::stop(unsigned number)
{
    instances_[number].stopping = instances_[number].router != nullptr;
    step(number, stop_requested{});
}

void flow_simulation::freeze(unsigned number, duration span)
{
    instances_[number].frozen_until = now_ + span;
    failure_times_.push_back(now_);
}

void flow_simulation::partition(unsigned last_instance)
{
    failure_times_.push_back(now_);
    last_on_first_side_ = last_instance;
    partitioned_at_ = now_;
}

void flow_simulation::heal()
{
    last_on_first_side_ = 0;
}

void flow_simulation::add_upstream(service_id service, unsigned number)
{
    const upstream_id id = upstream_of(service, number);
    fake_upstream& added = upstreams_[{service, id}];
    added.record.service = service;
    added.record.upstream = id;
    added.record.name =
        std::to_string(service.value) + "-" + std::to_string(number);
    added.record.address = {0x7f000000U + service.value * 256 + number, 6081};
    added.record.incarnation = 1;
    added.record.slots = 200;
    announce(added);
}

void flow_simulation::announce(fake_upstream& upstream)
{
    if (!upstream.alive || upstream.announcements_stopped)
    {
        return;
    }
    ++upstream.record.sequence;
    const auto targets = running(side_of(upstream));
    if (!targets.empty())
    {
        const unsigned target = targets[random_.below(targets.size())];
        step(target, upstream_announced{upstream.record});
    }
    at(1s, [this, &upstream] { announce(upstream); });
}

void flow_simulation::drain(service_id service, unsigned number)
{
    fake_upstream& drained =
        upstreams_[{service, upstream_of(service, number)}];
    drained.record.state = protocol::upstream_state::draining;
    drained.drains_since = now_;
}

void flow_simulation::kill_upstream(service_id service, unsigned number)
{
    upstreams_[{service, upstream_of(service, number)}].alive = false;
}

void flow_simulation::stop_announcements(service_id service, unsigned number)
{
    upstreams_[{service, upstream_of(service, number)}].announcements_stopped =
        true;
}

void flow_simulation::configure(
    const std::function<void(state::configuration&)>& change)
{
    auto next = std::make_shared<state::configuration>(*configuration_);
    ++next->revision;
    change(*next);
    configuration_ = next;
    for (unsigned number = 1; number < instances_.size(); ++number)
    {
        at(std::chrono::milliseconds(random_.below(2000)), [this, number, next]
           { step(number, configuration_received{next}); });
    }
}

void flow_simulation::start_next_flow()
{
    if (!new_flows_enabled_)
    {
        return;
    }
    caller_flow& flow = flows_[next_flow_];
    flow.number = next_flow_++;
    const auto kind = random_.below(10);
    flow.is_udp = options_.with_udp && kind < 2;
    flow.service = flow.is_udp ? orders : kind < 8 ? desk : maps;
    flow.is_long = random_.fraction() * 100 < options_.long_percent;
    flow.started = now_;
    flow.side = static_cast<unsigned>(random_.below(2));
    const auto length = std::chrono::milliseconds(
        flow.is_long ? 4000 + random_.below(8000) : 30 + random_.below(300));
    flow.ends = now_ + length;
    ++open_;
    open_tcp(flow);
    const auto gap =
        -std::log(1 - random_.fraction()) * 1e6 / options_.flows_per_second;
    at(std::chrono::microseconds(static_cast<std::int64_t>(gap)),
       [this] { start_next_flow(); });
}

void flow_simulation::open_tcp(caller_flow& flow)
{
    if (flow.is_udp)
    {
        continue_flow(flow);
        return;
    }
    send(flow, true, false, false);
    at(flow.syn_wait, [this, &flow] { retry_syn(flow); });
}

void flow_simulation::retry_syn(caller_flow& flow)
{
    if (flow.bound == nullptr && !flow.over)
    {
        flow.syn_wait *= 2;
        flow.ends = std::max(flow.ends, now_ + 100ms);
        open_tcp(flow);
    }
}

void flow_simulation::continue_flow(caller_flow& flow)
{
    if (flow.over)
    {
        return;
    }
    flow.fin_sent = now_ >= flow.ends;
    flow.progress += 100;
    send(flow, false, flow.fin_sent, true);
    const auto pause = flow.is_long || flow.fin_sent ? 200ms : 20ms;
    at(pause, [this, &flow] { continue_flow(flow); });
}

void flow_simulation::send(caller_flow& flow, bool syn, bool fin, bool data)
{
    const auto targets = running(last_on_first_side_ != 0 ? flow.side : 0);
    if (targets.empty() || lost())
    {
        return;
    }
    packet_event event;
    event.packet.source = {0x0a090000U + flow.number, 40000};
    event.packet.destination = service_address(flow.service);
    event.packet.protocol = flow.is_udp ? ip_protocol::udp : ip_protocol::tcp;
    event.packet.flags = {syn, !syn && !flow.is_udp, fin && !flow.is_udp,
                          false};
    event.packet.sequence = flow.number;
    event.packet.acknowledgement = syn ? 0 : 1 + flow.progress;
    event.packet.payload_size = data ? 100 : 0;
    const unsigned target = targets[random_.below(targets.size())];
    at(latency(), [this, target, event] { deliver(target, event); });
}

void flow_simulation::deliver(unsigned number, packet_event event)
{
    simulated_instance& receiver = instances_[number];
    if (!receiver.router)
    {
        return;
    }
    if (now_ < receiver.frozen_until)
    {
        at(receiver.frozen_until - now_ + 1us,
           [this, number, event] { deliver(number, event); });
        return;
    }
    event.now = now_;
    event.ticket = hold_ticket{next_ticket_++};
    apply_decision(number, event, receiver.router->decide(event));
}

void flow_simulation::apply_decision(unsigned number, const packet_event& event,
                                     const packet_decision& decision)
{
    if (const auto* passed = std::get_if<forward_to_instance>(&decision))
    {
        packet_event next = event;
        next.header.hops = passed->hops;
        next.header.forwarded_by = instance_id{number};
        const unsigned to = passed->instance.value;
        if (reachable(number, to) && !lost())
        {
            at(latency(), [this, to, next] { deliver(to, next); });
        }
    }
    if (std::holds_alternative<held>(decision))
    {
        instances_[number].held[event.ticket.value] = event;
    }
    if (std::holds_alternative<refused>(decision))
    {
        ++result_.refused;
    }
    if (const auto* sent = std::get_if<forward_to_upstream>(&decision))
    {
        const auto found = upstreams_.find({sent->service, sent->upstream});
        if (found != upstreams_.end() && found->second.alive && !lost() &&
            (last_on_first_side_ == 0 ||
             side_of(number) == side_of(found->second)))
        {
            at(500us,
               [this, &upstream = found->second, event, service = sent->service]
               { deliver_to_upstream(upstream, service, event); });
        }
    }
}

void flow_simulation::deliver_to_upstream(fake_upstream& upstream,
                                          service_id service,
                                          const packet_event& event)
{
    caller_flow& flow = flows_[event.packet.source.address - 0x0a090000U];
    if (!upstream.alive)
    {
        return;
    }
    if (service != flow.service || upstream.record.service != flow.service)
    {
        ++result_.wrong_service;
        return;
    }
    if (flow.is_udp)
    {
        deliver_udp_to_upstream(upstream, flow);
        return;
    }
    if (event.packet.flags.syn)
    {
        const bool added = upstream.connections.insert(flow.number).second;
        result_.late_placements +=
            added && now_ - 2s > upstream.drains_since ? 1 : 0;
        at(1ms,
           [this, &flow, &upstream]
           {
               if (flow.bound == nullptr && !flow.over)
               {
                   flow.bound = &upstream;
                   continue_flow(flow);
               }
           });
        return;
    }
    if (event.packet.payload_size > 0)
    {
        flow.data_at.insert(&upstream);
    }
    if (!upstream.connections.contains(flow.number))
    {
        end(flow, false, "reset by " + upstream.record.name);
        return;
    }
    if (event.packet.flags.fin)
    {
        end(flow, true, "");
    }
}

void flow_simulation::deliver_udp_to_upstream(fake_upstream& upstream,
                                              caller_flow& flow)
{
    flow.data_at.insert(&upstream);
    flow.bound = flow.bound == nullptr ? &upstream : flow.bound;
    if (flow.data_at.size() > 1)
    {
        result_.ran_twice += was_partitioned(flow) ? 0 : 1;
        end(flow, false, "datagram at a second upstream");
    }
    else if (flow.fin_sent)
    {
        end(flow, true, "");
    }
}

bool flow_simulation::was_partitioned(const caller_flow& flow) const
{
    // Owner and backups of an older flow may all be on the other side of the
    // partition. This side cannot tell its packets from those of a new flow.
    return flow.side == 1 && flow.started <= partitioned_at_;
}

void flow_simulation::end(caller_flow& flow, bool completed,
                          const std::string& why)
{
    if (flow.over)
    {
        return;
    }
    flow.over = true;
    --open_;
    if (completed)
    {
        ++result_.completed;
        return;
    }
    const bool young =
        std::any_of(failure_times_.begin(), failure_times_.end(),
                    [&](time_point kill) {
                        return flow.started <= kill && flow.started > kill - 2s;
                    });
    if (young || was_partitioned(flow) ||
        (flow.bound != nullptr && !flow.bound->alive))
    {
        ++result_.excused;
        return;
    }
    ++result_.broken;
    result_.two_upstreams += flow.data_at.size() > 1 ? 1 : 0;
    result_.details.push_back(
        "flow " + std::to_string(flow.number) + " service " +
        std::to_string(flow.service.value) + (flow.is_long ? " long" : "") +
        " age " +
        std::to_string((now_ - flow.started) / std::chrono::milliseconds(1)) +
        " ms: " + why);
}

} // namespace boragestand::coordination::testing
