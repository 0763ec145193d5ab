#pragma once

#include "base/metrics_text.hpp"
#include "coordination/upstream_pool.hpp"

#include <memory>
#include <unordered_map>

namespace boragestand::coordination
{

/// Decides where packets go when callers and upstreams return a routing token.
/// A new flow is placed on an upstream of its route's service; every later
/// packet can be sent on by any instance. Records of flows are kept for load,
/// health and repeated SYNs; losing them breaks no flow. Pure: times are passed
/// in.
class token_router
{
public:
    explicit token_router(const token_router_settings& settings);

    /// Decides on one packet.
    token_decision decide(const token_packet& packet, time_point now);

    /// Takes records of upstreams; see upstream_pool::apply.
    void apply(const std::vector<registered_upstream>& records, bool whole,
               time_point now)
    {
        pool_.apply(records, whole, now);
    }

    /// Takes a plan. An older version than the one in force is ignored and
    /// gives false.
    bool apply(const state::routing_plan& plan);

    /// The plan in force was confirmed to be the newest.
    void confirm_plan(time_point now) { plan_confirmed_ = now; }

    /// Many packets wait to be read, so SYNs that seem unanswered may not be.
    void note_backlog(time_point now) { pool_.note_backlog(now); }

    /// Forgets flows that have ended or are silent; due a few times a second.
    void sweep(time_point now);

    std::uint64_t plan_version() const { return plan_version_; }
    std::size_t flow_count() const { return flows_.size(); }
    std::size_t upstream_count() const { return pool_.size(); }
    const token_router_counters& counters() const { return counters_; }

    /// Times from a SYN to the next packet of its flow, and of whole flows, as
    /// seen in the packets that pass here.
    const duration_histogram& handshakes() const { return handshakes_; }
    const duration_histogram& lifetimes() const { return lifetimes_; }

private:
    enum class flow_phase : std::uint8_t
    {
        opening, ///< SYN sent, no packet followed yet
        open,
        ended ///< kept for late packets
    };

    struct flow_record
    {
        std::uint64_t upstream{0};
        std::uint32_t sequence{0}; ///< of the SYN
        flow_phase phase{flow_phase::opening};
        bool counted{false}; ///< as an open flow of the upstream
        time_point sent;     ///< the last SYN
        time_point seen;     ///< the last packet
        std::vector<std::uint64_t> tried;
    };

    struct flow_hash
    {
        std::size_t operator()(const token_flow& flow) const noexcept;
    };

    struct route_target
    {
        std::vector<state::weighted_service> services;
        std::uint64_t total_weight{0};
    };

    flow_record* find_flow(const token_flow& flow);
    token_decision open_flow(const token_packet& packet, time_point now);
    token_decision place(const token_packet& packet, flow_record& record,
                         forward_reason reason, time_point now);
    token_decision continue_flow(const token_packet& packet, time_point now);
    token_decision forward_by_token(const token_packet& packet);
    token_decision drop(token_drop reason);
    void take_answer(const token_packet& packet, flow_record& record,
                     time_point now);
    void give_up(flow_record& record, time_point now);
    void release(flow_record& record);
    const std::string& service_of(const route_target& target,
                                  std::uint64_t hash) const;

    token_router_settings settings_;
    upstream_pool pool_;
    std::unordered_map<token_flow, flow_record, flow_hash> flows_;
    std::map<transport::endpoint, route_target> routes_;
    std::uint64_t plan_version_{0};
    std::optional<time_point> plan_confirmed_;
    token_router_counters counters_;
    duration_histogram handshakes_;
    duration_histogram lifetimes_;
};

} // namespace boragestand::coordination
