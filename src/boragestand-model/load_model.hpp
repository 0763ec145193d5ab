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

/// What a run of the load model does besides serving the requests.
struct load_options
{
    design_kind design{design_kind::chosen};
    network_delays delays;
    /// Whether callers or rules tell the class of the work.
    bool class_declared{true};
    /// Values that the load endpoint of upstream 0 reports instead of its own.
    std::optional<std::pair<std::uint32_t, std::uint16_t>> false_load;
    /// When upstream 0 restarts, slower at first; it loses no requests.
    std::optional<duration> cold_start;

    auto operator<=>(const load_options&) const = default;
};

/// Outcome of one request.
struct request_outcome
{
    model_request request;
    /// Time in the hold queue and in the queue of the upstream.
    duration waited{0};
    bool started{false};
    std::optional<time_point> answered; ///< at the caller
    bool refused{false};

    auto operator<=>(const request_outcome&) const = default;

    /// Whether the answer came within the deadline.
    bool in_time() const
    {
        return answered && (request.deadline == duration(0) ||
                            *answered <= request.sent + request.deadline);
    }
};

/// Callers, network, entry instances and upstreams under a given demand. The
/// model plays the part of the router towards the policy: it tells it what the
/// packets of a flow show.
class load_model
{
public:
    load_model(const load_options& options, std::vector<model_request> demand);

    /// Runs until this time after the start; calls observe every interval.
    void run(duration length, duration interval,
             const std::function<void()>& observe);

    /// Open flows of each upstream.
    const std::vector<std::uint32_t>& open() const { return open_; }

    /// Outcomes in the order of the demand.
    const std::vector<request_outcome>& outcomes() const { return outcomes_; }

    time_point now() const { return events_.now(); }

private:
    struct flow_state
    {
        unsigned upstream{0};
        unsigned tries{0};
        bool placed{false};
        bool ended{false};
        time_point first_arrival;
        time_point placed_at;
        time_point queued_at;
    };

    void send_syn(std::uint64_t flow);
    void arrive(std::uint64_t flow);
    void placed(std::uint64_t flow, upstream_id upstream);
    void dropped(std::uint64_t flow);
    void started(std::uint64_t flow);
    void answered(std::uint64_t flow);
    void progress(std::uint64_t flow);
    void give_up_at_deadline(std::uint64_t flow);
    void finish(std::uint64_t flow, coordination::flow_end end);
    void poll_endpoints();
    void restart_cold();
    unsigned index_of(upstream_id upstream) const;
    template <typename What>
    void tell(std::uint64_t flow, What what);

    load_options options_;
    event_queue events_;
    std::vector<request_outcome> outcomes_;
    std::vector<flow_state> flows_;
    std::vector<std::unique_ptr<model_upstream>> upstreams_;
    std::vector<upstream_id> ids_;
    std::vector<std::uint32_t> open_;
    std::unique_ptr<placement_design> design_;
};

} // namespace boragestand::model
