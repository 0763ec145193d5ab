#include "load_model.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::model
{

using namespace std::chrono_literals;

namespace
{

// Initial retransmission timeout of TCP (RFC 6298), doubled with each try.
constexpr duration first_syn_timeout = 1s;
constexpr unsigned max_syns = 4;

// Initial slowdown of a restarted upstream, which falls to 1 within cold_time.
constexpr double cold_factor = 5.0;
constexpr duration cold_time = 10s;

// Interval at which the owner sees acknowledgements of a long response.
constexpr duration progress_interval = 100ms;

} // namespace

load_model::load_model(const load_options& options,
                       std::vector<model_request> demand)
    : options_(options), flows_(demand.size()), open_flows_(upstream_count, 0)
{
    for (model_request& request : demand)
    {
        outcomes_.push_back({request, {}, false, {}, false});
    }
    for (unsigned index = 0; index < upstream_count; ++index)
    {
        ids_.push_back(make_upstream_record(index).upstream);
        auto& added = upstreams_.emplace_back(
            std::make_unique<model_upstream>(events_, slots_per_upstream));
        added->set_callbacks(
            [this](std::uint64_t flow) { handle_started(flow); },
            [this](std::uint64_t flow) { handle_answered(flow); });
    }
    design_ = make_placement_design(
        options.design, events_, options.delays,
        {[this](std::uint64_t flow, upstream_id upstream)
         { handle_placed(flow, upstream); },
         [this](std::uint64_t flow) { handle_dropped(flow); },
         [this](std::uint64_t flow)
         {
             outcomes_[flow].refused = true;
         }});
}

void load_model::run(duration length, duration interval,
                     const std::function<void()>& observe)
{
    for (std::uint64_t flow = 0; flow < outcomes_.size(); ++flow)
    {
        const duration sent = outcomes_[flow].request.sent.time_since_epoch();
        events_.schedule_after(sent, [this, flow] { send_syn(flow); });
    }
    events_.schedule_every(1s, [this] { poll_endpoints(); });
    if (options_.cold_start)
    {
        events_.schedule_after(*options_.cold_start,
                               [this] { restart_cold(); });
    }
    events_.schedule_every(interval, observe);
    events_.run_until(time_point(length));
}

void load_model::send_syn(std::uint64_t flow)
{
    ++flows_[flow].syn_count;
    events_.schedule_after(options_.delays.caller + options_.delays.internal,
                           [this, flow] { arrive(flow); });
}

void load_model::arrive(std::uint64_t flow)
{
    const model_request& request = outcomes_[flow].request;
    flow_state& state = flows_[flow];
    if (state.syn_count == 1)
    {
        state.first_arrival = events_.now();
    }
    coordination::flow_arrival arrival;
    arrival.service = model_service;
    arrival.flow_hash = request.flow_hash;
    arrival.ticket = {flow};
    if (options_.class_declared)
    {
        arrival.work = request.is_long ? protocol::request_class::long_work
                                       : protocol::request_class::short_work;
    }
    if (request.deadline > duration(0))
    {
        arrival.time_left = std::max<duration>(
            request.sent + request.deadline - events_.now(), 1us);
    }
    design_->arrive(arrival);
}

void load_model::handle_placed(std::uint64_t flow, upstream_id upstream)
{
    flow_state& state = flows_[flow];
    state.placed = true;
    state.placed_at = events_.now();
    state.upstream = index_of(upstream);
    ++open_flows_[state.upstream];
    schedule_cancellation(flow);
    const auto& delays = options_.delays;
    // SYN to the upstream, SYN-ACK to the caller, ACK with the request back.
    const duration handshake = 2 * delays.internal + 2 * delays.caller;
    events_.schedule_after(
        handshake, [this, flow, handshake]
        { record_event(flow, coordination::flow_established{handshake}); });
    events_.schedule_after(handshake + delays.internal,
                           [this, flow]
                           {
                               const model_request& request =
                                   outcomes_[flow].request;
                               const time_point deadline =
                                   request.deadline == duration(0)
                                       ? time_point::max()
                                       : request.sent + request.deadline;
                               flows_[flow].queued_at = events_.now();
                               upstreams_[flows_[flow].upstream]->arrive(
                                   flow, request.service_time, deadline);
                           });
    events_.schedule_after(1s,
                           [this, flow]
                           {
                               if (!flows_[flow].ended)
                               {
                                   record_event(
                                       flow, coordination::flow_became_long{});
                               }
                           });
}

void load_model::handle_dropped(std::uint64_t flow)
{
    const model_request& request = outcomes_[flow].request;
    const flow_state& state = flows_[flow];
    if (state.syn_count >= max_syns)
    {
        return;
    }
    // Retransmission n follows 2^n - 1 timeouts after the first SYN.
    const time_point again =
        request.sent + first_syn_timeout * ((1 << state.syn_count) - 1);
    if (request.deadline > duration(0) &&
        again >= request.sent + request.deadline)
    {
        return;
    }
    events_.schedule_after(std::max(again - events_.now(), duration(0)),
                           [this, flow] { send_syn(flow); });
}

void load_model::handle_started(std::uint64_t flow)
{
    const flow_state& state = flows_[flow];
    outcomes_[flow].started = true;
    outcomes_[flow].waited = (state.placed_at - state.first_arrival) +
                             (events_.now() - state.queued_at);
    schedule_progress(flow);
}

// The response is sent in parts from the start of the service, so the owner
// sees progress before the request is finished.
void load_model::schedule_progress(std::uint64_t flow)
{
    const auto& delays = options_.delays;
    events_.schedule_after(
        progress_interval,
        [this, flow, delays]
        {
            if (outcomes_[flow].answered || flows_[flow].ended)
            {
                return;
            }
            events_.schedule_after(
                2 * delays.caller + delays.internal, [this, flow]
                { record_event(flow, coordination::flow_progressed{1}); });
            schedule_progress(flow);
        });
}

void load_model::handle_answered(std::uint64_t flow)
{
    const auto& delays = options_.delays;
    request_outcome& outcome = outcomes_[flow];
    outcome.answered = events_.now() + delays.caller;
    if (flows_[flow].ended)
    {
        return;
    }
    const duration seen = 2 * delays.caller + delays.internal;
    events_.schedule_after(
        seen,
        [this, flow] { record_event(flow, coordination::flow_progressed{1}); });
    events_.schedule_after(
        seen + outcome.request.open_after_answer,
        [this, flow] { finish(flow, coordination::flow_end::completed); });
}

// The caller closes the connection at its deadline; the upstream still finishes
// a request that it has started.
void load_model::schedule_cancellation(std::uint64_t flow)
{
    const model_request& request = outcomes_[flow].request;
    if (request.deadline == duration(0))
    {
        return;
    }
    events_.schedule_after(request.sent + request.deadline +
                               options_.delays.caller - events_.now(),
                           [this, flow]
                           {
                               if (!outcomes_[flow].answered)
                               {
                                   finish(flow,
                                          coordination::flow_end::cancelled);
                               }
                           });
}

void load_model::finish(std::uint64_t flow, coordination::flow_end end)
{
    flow_state& state = flows_[flow];
    if (state.ended)
    {
        return;
    }
    state.ended = true;
    --open_flows_[state.upstream];
    record_event(
        flow, coordination::flow_ended{end, events_.now() - state.placed_at});
}

// Load endpoints are polled once a second and report their current values.
void load_model::poll_endpoints()
{
    for (unsigned index = 0; index < upstream_count; ++index)
    {
        coordination::endpoint_report report;
        report.service = model_service;
        report.upstream = ids_[index];
        report.open = open_flows_[index];
        report.running =
            static_cast<std::uint16_t>(upstreams_[index]->running());
        if (index == 0 && options_.false_load)
        {
            report.open = options_.false_load->first;
            report.running = options_.false_load->second;
        }
        events_.schedule_after(2 * options_.delays.internal,
                               [this, report] { design_->apply(report); });
    }
}

void load_model::restart_cold()
{
    upstreams_[0]->start_cold(cold_factor, cold_time);
    protocol::upstream_record record = make_upstream_record(0);
    ++record.incarnation;
    record.warmup_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(cold_time)
            .count());
    design_->apply(record);
}

unsigned load_model::index_of(upstream_id upstream) const
{
    const auto found = std::find(ids_.begin(), ids_.end(), upstream);
    return static_cast<unsigned>(found - ids_.begin());
}

template <typename Event>
void load_model::record_event(std::uint64_t flow, Event event)
{
    const flow_state& state = flows_[flow];
    coordination::flow_observation observation;
    observation.service = model_service;
    observation.upstream = ids_[state.upstream];
    observation.flow_hash = outcomes_[flow].request.flow_hash;
    observation.event = event;
    const bool known_long =
        outcomes_[flow].request.is_long && options_.class_declared;
    if (known_long || events_.now() >= state.placed_at + 1s)
    {
        observation.work = protocol::request_class::long_work;
    }
    design_->apply(observation);
}

} // namespace boragestand::model
