#pragma once

#include "demand.hpp"
#include "event_queue.hpp"
#include "model_types.hpp"
#include "routing_design.hpp"

#include <map>
#include <set>

namespace boragestand::model
{

/// Numbers of flows by their outcome.
struct flow_counts
{
    std::uint64_t completed{0};
    /// Flows reset by an upstream that does not know them, or stalled.
    std::uint64_t broken{0};
    /// Broken flows that do not count against a design: the upstream died or
    /// was unreachable, or the flow was younger than 2 s when an instance was
    /// killed or a data centre was cut off.
    std::uint64_t excused{0};

    auto operator<=>(const flow_counts&) const = default;
};

/// Simulates flows packet by packet. Each packet of a caller reaches a random
/// instance; upstreams announce themselves once a second. Callers and upstreams
/// with an odd number are in the data centre of the last two instances.
class flow_model
{
public:
    flow_model(design_kind design, std::vector<model_request> demand,
               std::uint64_t seed);

    /// Runs the simulation up to this time.
    void run_until(time_point end) { events_.run_until(end); }

    /// Runs until no flow is open, at most for limit.
    void finish(duration limit);

    void add_upstream(unsigned index);
    void drain_upstream(unsigned index);
    void kill_upstream(unsigned index);
    void change_weights();
    void start_instance(unsigned instance);
    void stop_instance(unsigned instance);
    void kill_instance(unsigned instance);
    void partition_data_centre();
    void heal_partition();

    const flow_counts& counts() const { return counts_; }
    std::uint64_t control_bytes() const { return design_->control_bytes(); }
    time_point now() const { return events_.now(); }

private:
    struct upstream_state
    {
        protocol::upstream_record record;
        unsigned index{0};
        bool alive{true};
        std::set<std::uint64_t> connections;
    };

    struct caller_flow
    {
        model_request request;
        upstream_state* upstream{nullptr};
        time_point last_progress;
        std::uint32_t acknowledged{1};
        bool over{false};
        bool excused{false};
    };

    void announce(unsigned index);
    void open(std::uint64_t flow, duration timeout);
    void continue_flow(std::uint64_t flow);
    void send(std::uint64_t flow, protocol::tcp_flags flags);
    void deliver(unsigned instance, upstream_id upstream,
                 const coordination::packet_event& event);
    void receive(upstream_state& upstream, std::uint64_t flow,
                 const protocol::inner_packet& packet);
    void end_flow(std::uint64_t flow, bool completed);
    void excuse_recent_flows();
    unsigned data_centre_of_instance(unsigned instance) const;
    unsigned data_centre_of_index(std::uint64_t index) const;
    unsigned pick_instance(unsigned data_centre);

    event_queue events_;
    random_generator random_;
    network_delays delays_;
    std::vector<caller_flow> flows_;
    std::map<upstream_id, upstream_state> upstreams_;
    std::shared_ptr<state::configuration> configuration_;
    std::unique_ptr<routing_design> design_;
    std::uint64_t open_{0};
    bool partitioned_{false};
    flow_counts counts_;
};

} // namespace boragestand::model
