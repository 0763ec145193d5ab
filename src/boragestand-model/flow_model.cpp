#include "flow_model.hpp"

#include <utility>

namespace boragestand::model
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t first_caller = 0x0a090000;
constexpr unsigned last_local_instance = owner_count - 2;
constexpr duration announce_interval = 1s;
constexpr duration short_packet_interval = 50ms;
constexpr duration long_packet_interval = 200ms;
constexpr duration stall_timeout = 15s;
constexpr duration recent_flow_age = 2s;
// Enough slots that they never limit flows in this model.
constexpr std::uint16_t ample_slots = 400;

} // namespace

flow_model::flow_model(design_kind design, std::vector<model_request> demand,
                       std::uint64_t seed)
    : random_(seed)
    , configuration_(
          std::make_shared<state::configuration>(model_configuration()))
{
    design_ =
        make_routing_design(design, events_, delays_, seed,
                            [this](unsigned instance, upstream_id upstream,
                                   const coordination::packet_event& event)
                            { deliver(instance, upstream, event); });
    design_->configure(configuration_);
    for (unsigned index = 0; index < upstream_count; ++index)
    {
        add_upstream(index);
    }
    flows_.resize(demand.size());
    for (std::uint64_t flow = 0; flow < demand.size(); ++flow)
    {
        flows_[flow].request = demand[flow];
        events_.schedule_after(demand[flow].sent.time_since_epoch(),
                               [this, flow]
                               {
                                   ++open_;
                                   flows_[flow].last_progress = events_.now();
                                   open(flow, 1s);
                               });
    }
}

void flow_model::finish(duration limit)
{
    const time_point end_of_run = events_.now() + limit;
    while (open_ > 0 && events_.now() < end_of_run)
    {
        events_.run_until(events_.now() + 1s);
    }
}

void flow_model::add_upstream(unsigned index)
{
    protocol::upstream_record record = make_upstream_record(index);
    record.slots = ample_slots;
    record.lease_ms = 3000;
    record.warmup_ms = 0;
    upstream_state& added = upstreams_[record.upstream];
    added.record = record;
    added.index = index;
    announce(index);
}

void flow_model::drain_upstream(unsigned index)
{
    upstreams_[make_upstream_record(index).upstream].record.state =
        protocol::upstream_state::draining;
}

void flow_model::kill_upstream(unsigned index)
{
    upstream_state& ended = upstreams_[make_upstream_record(index).upstream];
    ended.alive = false;
    for (caller_flow& flow : flows_)
    {
        flow.excused |= flow.upstream == &ended;
    }
}

void flow_model::change_weights()
{
    auto changed = std::make_shared<state::configuration>(*configuration_);
    ++changed->revision;
    changed->overrides = {
        {model_service, make_upstream_record(2).name, std::uint16_t{50}, false},
        {model_service, make_upstream_record(5).name, std::uint16_t{200},
         false}};
    configuration_ = changed;
    design_->configure(changed);
}

void flow_model::start_instance(unsigned instance)
{
    if (!design_->runs(instance))
    {
        design_->start(instance);
    }
}

void flow_model::stop_instance(unsigned instance)
{
    design_->stop(instance);
}

void flow_model::kill_instance(unsigned instance)
{
    excuse_recent_flows();
    design_->kill(instance);
}

void flow_model::partition_data_centre()
{
    excuse_recent_flows();
    partitioned_ = true;
    design_->set_partition_after(last_local_instance);
    for (std::uint64_t flow = 0; flow < flows_.size(); ++flow)
    {
        const upstream_state* upstream = flows_[flow].upstream;
        flows_[flow].excused |=
            upstream != nullptr &&
            data_centre_of_index(upstream->index) != data_centre_of_index(flow);
    }
}

void flow_model::heal_partition()
{
    partitioned_ = false;
    design_->set_partition_after(0);
}

// Excuses flows whose owner may have died before their pin reached the backup.
void flow_model::excuse_recent_flows()
{
    for (caller_flow& flow : flows_)
    {
        const time_point opened = flow.request.sent;
        flow.excused |=
            opened <= events_.now() && opened > events_.now() - recent_flow_age;
    }
}

void flow_model::announce(unsigned index)
{
    upstream_state& announced =
        upstreams_[make_upstream_record(index).upstream];
    if (!announced.alive)
    {
        return;
    }
    ++announced.record.sequence;
    if (const unsigned instance = pick_instance(data_centre_of_index(index)))
    {
        design_->announce(instance, announced.record);
    }
    events_.schedule_after(announce_interval,
                           [this, index] { announce(index); });
}

void flow_model::open(std::uint64_t flow, duration timeout)
{
    caller_flow& opening = flows_[flow];
    if (opening.over || opening.upstream != nullptr)
    {
        return;
    }
    if (events_.now() > opening.last_progress + stall_timeout)
    {
        end_flow(flow, false);
        return;
    }
    send(flow, {.syn = true});
    events_.schedule_after(timeout,
                           [this, flow, timeout] { open(flow, timeout * 2); });
}

void flow_model::continue_flow(std::uint64_t flow)
{
    caller_flow& known = flows_[flow];
    if (known.over)
    {
        return;
    }
    if (events_.now() > known.last_progress + stall_timeout)
    {
        end_flow(flow, false);
        return;
    }
    const bool done =
        events_.now() >= known.request.sent + known.request.service_time;
    known.acknowledged += 1000;
    send(flow, {.ack = true, .fin = done});
    events_.schedule_after(known.request.is_long ? long_packet_interval
                                                 : short_packet_interval,
                           [this, flow] { continue_flow(flow); });
}

void flow_model::send(std::uint64_t flow, protocol::tcp_flags flags)
{
    const unsigned instance = pick_instance(data_centre_of_index(flow));
    if (instance == 0)
    {
        return;
    }
    coordination::packet_event event;
    event.now = events_.now();
    event.packet.source = {first_caller + static_cast<std::uint32_t>(flow),
                           40000};
    event.packet.destination = configuration_->services[0].address;
    event.packet.flags = flags;
    event.packet.sequence = flags.syn ? 0 : 1;
    event.packet.acknowledgement = flags.syn ? 0 : flows_[flow].acknowledged;
    event.packet.payload_size = flags.syn ? 0 : 100;
    event.header.work = flows_[flow].request.is_long
                            ? protocol::request_class::long_work
                            : protocol::request_class::short_work;
    events_.schedule_after(delays_.caller, [this, instance, event]
                           { design_->handle_packet(instance, event); });
}

void flow_model::deliver(unsigned instance, upstream_id upstream,
                         const coordination::packet_event& event)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || !found->second.alive ||
        (partitioned_ && data_centre_of_instance(instance) !=
                             data_centre_of_index(found->second.index)))
    {
        return;
    }
    const std::uint64_t flow = event.packet.source.address - first_caller;
    events_.schedule_after(delays_.internal, [this, &target = found->second,
                                              flow, packet = event.packet]
                           { receive(target, flow, packet); });
}

void flow_model::receive(upstream_state& upstream, std::uint64_t flow,
                         const protocol::inner_packet& packet)
{
    caller_flow& known = flows_[flow];
    if (!upstream.alive || known.over)
    {
        return;
    }
    if (packet.flags.syn)
    {
        upstream.connections.insert(flow);
        if (known.upstream == nullptr)
        {
            known.upstream = &upstream;
            events_.schedule_after(delays_.caller,
                                   [this, flow] { continue_flow(flow); });
        }
        return;
    }
    if (known.upstream != &upstream)
    {
        end_flow(flow, false);
        return;
    }
    known.last_progress = events_.now();
    if (packet.flags.fin)
    {
        end_flow(flow, true);
    }
}

void flow_model::end_flow(std::uint64_t flow, bool completed)
{
    caller_flow& ended = flows_[flow];
    if (std::exchange(ended.over, true))
    {
        return;
    }
    --open_;
    if (completed)
    {
        ++counts_.completed;
        return;
    }
    ++(ended.excused ? counts_.excused : counts_.broken);
}

unsigned flow_model::data_centre_of_instance(unsigned instance) const
{
    return instance > last_local_instance ? 1 : 0;
}

unsigned flow_model::data_centre_of_index(std::uint64_t index) const
{
    return static_cast<unsigned>(index % 2);
}

unsigned flow_model::pick_instance(unsigned data_centre)
{
    std::vector<unsigned> running;
    for (unsigned instance = 1; instance <= owner_count; ++instance)
    {
        if (design_->runs(instance) &&
            (!partitioned_ || data_centre_of_instance(instance) == data_centre))
        {
            running.push_back(instance);
        }
    }
    return running.empty() ? 0 : running[random_.below(running.size())];
}

} // namespace boragestand::model
