#pragma once

#include "base/metrics_text.hpp"
#include "traffic/upstream_pool.hpp"

#include <algorithm>
#include <memory>
#include <unordered_map>

namespace boragestand::traffic
{

/// Routes packets of callers. Callers and upstreams echo a routing token. A new
/// flow is placed on an upstream of its route's service; any instance can
/// forward the later packets by their token. Flow records serve load estimates,
/// health checks and repeated SYNs; losing them breaks no flow. Does no I/O and
/// reads no clock: times are passed in.
class token_router
{
public:
    explicit token_router(const token_router_settings& settings);

    // The pool refers to the tracker.
    token_router(const token_router&) = delete;
    token_router& operator=(const token_router&) = delete;

    /// Returns what to do with one packet.
    token_decision decide(const token_packet& packet, time_point now);

    /// Applies upstream records; see upstream_pool::apply.
    void apply(const std::vector<coordination::registered_upstream>& records,
               bool full, time_point now)
    {
        pool_.apply(records, full, now);
    }

    /// Puts a plan into force. Returns false and ignores a plan that is not
    /// newer than the one in force.
    bool apply(const state::routing_plan& plan);

    /// Changes the plan in force to a newer one. Returns false and ignores an
    /// update that is not newer.
    bool apply(const coordination::plan_update& update);

    /// Applies grants of cold upstreams.
    void apply(const std::vector<coordination::warmup_grant>& grants,
               time_point now)
    {
        pool_.apply(grants, now);
    }

    /// Applies an aggregate of the load over all entry instances.
    void apply(const coordination::evidence_report& aggregate, time_point now)
    {
        pool_.apply(aggregate, now);
    }

    /// What this instance has measured of upstreams since the last call.
    std::vector<coordination::upstream_evidence> take_evidence(time_point now)
    {
        return tracker_.take(now);
    }

    load_summary load_summary_at(time_point now) const
    {
        return pool_.load_summary_at(now);
    }

    /// Applies an evacuation or its end.
    void apply(const coordination::evacuation_notice& notice, time_point now)
    {
        pool_.apply(notice, now);
    }

    /// Records that the plan in force was the newest at this time.
    void confirm_plan(time_point when)
    {
        plan_confirmed_ = std::max(plan_confirmed_.value_or(when), when);
    }

    /// Reports that many packets wait to be read: answers to SYNs that seem
    /// unanswered may be among them.
    void report_backlog(time_point now)
    {
        last_backlog_ = now;
        pool_.report_backlog(now);
    }

    /// Removes records of ended and idle flows; to be called a few times a
    /// second.
    void sweep(time_point now);

    /// The route of a destination in the plan in force, or null.
    const state::service_route*
    find_route(const transport::endpoint& destination) const;

    std::uint64_t plan_version() const { return plan_version_; }
    std::size_t route_count() const { return routes_.size(); }
    std::size_t flow_count() const { return flows_.size(); }
    std::size_t upstream_count() const { return pool_.size(); }
    const token_router_counters& counters() const { return counters_; }

    /// Times from a SYN to the next packet of its flow, and lifetimes of flows,
    /// measured on the packets that pass this instance.
    const duration_histogram& handshakes() const { return handshakes_; }
    const duration_histogram& lifetimes() const { return lifetimes_; }

private:
    enum class flow_phase : std::uint8_t
    {
        opening, ///< SYN sent, no packet followed yet
        open,
        ended ///< kept to route late packets
    };

    struct flow_record
    {
        std::uint64_t upstream{0};
        routing_token token{0};    ///< of the upstream's incarnation
        std::uint32_t sequence{0}; ///< of the SYN
        flow_phase phase{flow_phase::opening};
        bool counted_as_open{false}; ///< as an open flow of the upstream
        time_point last_syn;         ///< the last SYN
        time_point last_packet;      ///< the last packet
        std::vector<std::uint64_t> tried_upstreams;
        request_progress request;
    };

    struct flow_hash
    {
        std::size_t operator()(const token_flow& flow) const noexcept;
    };

    struct route_target
    {
        std::shared_ptr<const state::service_route> route;
        std::uint64_t total_weight{0};
    };

    void set_route(std::shared_ptr<const state::service_route> route);
    flow_record* find_flow(const token_flow& flow, time_point now);
    bool belongs_to(const token_packet& packet,
                    const flow_record& record) const;
    void assign(flow_record& record, const upstream_pool::member& upstream);
    token_decision open_flow(const token_packet& packet, time_point now);
    token_decision place_flow(const token_packet& packet, flow_record& record,
                              forward_reason reason, time_point now);
    token_decision continue_flow(const token_packet& packet, time_point now);
    token_decision forward_by_token(const token_packet& packet);
    token_decision drop(token_drop_reason reason);
    token_decision refuse(const std::string& service, bool repeated);
    void complete_handshake(const token_packet& packet, flow_record& record,
                            time_point now);
    void abandon_attempt(flow_record& record, time_point now);
    void follow_request(const token_packet& packet, flow_record& record,
                        time_point now);
    void end_request(flow_record& record, time_point now);
    void stop_counting(flow_record& record);
    const std::string& select_service(const route_target& target,
                                      std::uint64_t hash) const;

    token_router_settings settings_;
    load_tracker tracker_;
    upstream_pool pool_;
    time_point last_backlog_{};
    std::unordered_map<token_flow, flow_record, flow_hash> flows_;
    std::map<transport::endpoint, route_target> routes_;
    std::uint64_t plan_version_{0};
    std::optional<time_point> plan_confirmed_;
    token_router_counters counters_;
    duration_histogram handshakes_;
    duration_histogram lifetimes_;
};

} // namespace boragestand::traffic
