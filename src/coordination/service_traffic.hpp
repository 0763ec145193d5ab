#pragma once

#include "coordination/admission_rules.hpp"
#include "coordination/episode_tracker.hpp"
#include "coordination/hold_queue.hpp"
#include "coordination/load_view.hpp"
#include "coordination/placement.hpp"
#include "coordination/refusal_limiter.hpp"
#include "coordination/running_flows.hpp"
#include "coordination/service_times.hpp"
#include "coordination/traffic_policy.hpp"
#include "coordination/upstream_directory.hpp"
#include "coordination/upstream_health.hpp"

#include <span>
#include <vector>

namespace boragestand::coordination
{

/// The same moment on the monotonic and on the wall clock.
struct clock_reading
{
    time_point now;
    wall_time wall;

    /// The wall-clock time at another time of the monotonic clock.
    wall_time wall_at(time_point other) const
    {
        return wall + std::chrono::duration_cast<std::chrono::milliseconds>(
                          other - now);
    }

    auto operator<=>(const clock_reading&) const = default;
};

/// Placement and admission for the flows of one service.
class service_traffic
{
public:
    service_traffic(instance_id self, service_id id,
                    const traffic_settings& settings);

    /// Applies the part of a configuration that concerns this service.
    void apply(const state::configuration& configuration,
               const clock_reading& clock);

    /// Applies an announcement; returns whether it was newer.
    bool apply(const protocol::upstream_record& record, time_point now);

    /// Applies the load of this service that another owner reports.
    void apply(instance_id from, std::vector<protocol::upstream_load> loads,
               time_point now);

    /// Applies the answer of a health or load endpoint.
    void apply(const endpoint_report& report, time_point now);

    /// Removes the reported load of an instance.
    void forget_load_of(instance_id instance) { load_.remove_report(instance); }

    /// Decides about a new flow.
    admission admit(const flow_arrival& arrival, time_point now);

    /// Removes a flow from the hold queue; returns false if it is not held.
    bool cancel(hold_ticket ticket);

    /// Records an observation from the packets of a flow.
    void record(const flow_observation& observation, time_point now);

    /// Appends the due decisions about held flows.
    void poll(const clock_reading& clock, std::vector<hold_outcome>& outcomes);

    /// The request to the director that is to be sent now, if any.
    std::optional<director_request> due_director_request(time_point now);

    /// Stops repeating a request.
    void acknowledge_director_request(std::uint64_t episode);

    /// Appends this owner's load to a report.
    void add_to_report(protocol::load_report& report);

    /// The upstreams that take new flows.
    std::span<const protocol::settled_upstream> active_set() const;

    /// Announced upstreams.
    const upstream_directory& directory() const { return directory_; }

    /// Removes and returns the events recorded since the last call.
    std::vector<traffic_event> take_events();

private:
    struct endpoint_load
    {
        std::uint32_t running{0};
        time_point received_at;
    };

    void advance(time_point now);
    void rebuild_active_set(time_point now);
    void update_candidate_loads(time_point now);
    admission admit_classified(const flow_arrival& arrival, time_point now);
    duration wait_limit(const flow_arrival& arrival) const;
    admission hold(const flow_arrival& arrival, std::uint16_t share,
                   time_point now);
    std::optional<placed> place(const flow_arrival& arrival,
                                std::uint16_t share, time_point now);
    void start(const flow_arrival& arrival, upstream_id upstream,
               std::uint16_t share, time_point now);
    bool share_used_up(std::uint16_t share) const;
    void release_slot(const running_flow& flow);
    void end_flow(const flow_observation& observation);
    void expire_held_flows(std::vector<hold_outcome>& outcomes, time_point now);
    bool release_one(std::vector<hold_outcome>& outcomes, time_point now);
    void report_overload(const char* reason, time_point now);
    admission decide_expired(const queued_flow& flow, time_point now);

    service_id id_;
    traffic_settings settings_;
    bool configured_{false};
    state::service definition_;
    upstream_directory directory_;
    upstream_health health_;
    running_flows running_;
    load_view load_;
    service_times times_;
    hold_queue queue_;
    admission_rules rules_;
    refusal_limiter refusals_;
    episode_tracker episode_;
    clock_reading clock_;
    std::vector<protocol::settled_upstream> active_;
    std::vector<placement_candidate> candidates_;
    std::map<upstream_id, endpoint_load> endpoint_loads_;
    std::map<std::uint16_t, std::uint32_t> share_running_;
    std::vector<traffic_event> events_;
    time_point next_change_{time_point::min()};
    time_point next_sweep_{time_point::min()};
};

} // namespace boragestand::coordination
