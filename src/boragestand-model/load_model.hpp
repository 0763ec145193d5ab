#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"
#include "model_upstream.hpp"
#include "placement_design.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace boragestand::model
{

/// Options of a run of the load model.
struct load_options
{
    design_kind design{design_kind::chosen};
    network_delays delays;
    /// Whether callers or rules declare the class of each request.
    bool class_declared{true};
    /// Open flows and running requests that the load endpoint of upstream 0
    /// reports instead of the true values.
    std::optional<std::pair<std::uint32_t, std::uint16_t>> false_load;
    /// When upstream 0 restarts. It is slower at first, but loses no requests.
    std::optional<duration> cold_start;

    auto operator<=>(const load_options&) const = default;
};

/// Outcome of a request.
struct request_outcome
{
    model_request request;
    /// Time in the hold queue and in the queue of the upstream.
    duration waited{0};
    bool started{false};
    std::optional<time_point> answered; ///< response at the caller
    bool refused{false};

    auto operator<=>(const request_outcome&) const = default;

    /// Whether the answer came within the deadline.
    bool in_time() const
    {
        return answered && (request.deadline == duration(0) ||
                            *answered <= request.sent + request.deadline);
    }
};

/// Simulates callers, network, entry instances and upstreams under a given
/// demand. In place of the router, the model reports to the traffic policy what
/// the packets of a flow would show.
class load_model
{
public:
    load_model(const load_options& options, std::vector<model_request> demand);

    /// Runs for this time and calls observe once per interval.
    void run(duration length, duration interval,
             const std::function<void()>& observe);

    /// Number of open flows of each upstream.
    const std::vector<std::uint32_t>& open_flows() const { return open_flows_; }

    /// Outcomes in the order of the demand.
    const std::vector<request_outcome>& outcomes() const { return outcomes_; }

    time_point now() const { return events_.now(); }

private:
    struct flow_state
    {
        unsigned upstream{0};
        unsigned syn_count{0};
        bool placed{false};
        bool ended{false};
        time_point first_arrival;
        time_point placed_at;
        time_point queued_at;
    };

    void send_syn(std::uint64_t flow);
    void arrive(std::uint64_t flow);
    void handle_placed(std::uint64_t flow, upstream_id upstream);
    void handle_dropped(std::uint64_t flow);
    void handle_started(std::uint64_t flow);
    void handle_answered(std::uint64_t flow);
    void schedule_progress(std::uint64_t flow);
    void schedule_cancellation(std::uint64_t flow);
    void finish(std::uint64_t flow, coordination::flow_end end);
    void poll_endpoints();
    void restart_cold();
    unsigned index_of(upstream_id upstream) const;
    template <typename Event>
    void record_event(std::uint64_t flow, Event event);

    load_options options_;
    event_queue events_;
    std::vector<request_outcome> outcomes_;
    std::vector<flow_state> flows_;
    std::vector<std::unique_ptr<model_upstream>> upstreams_;
    std::vector<upstream_id> ids_;
    std::vector<std::uint32_t> open_flows_;
    std::unique_ptr<placement_design> design_;
};

} // namespace boragestand::model
