#pragma once

#include "demand.hpp"
#include "event_queue.hpp"
#include "model_types.hpp"
#include "routing_design.hpp"

#include <map>
#include <set>

namespace boragestand::model
{

/// What became of the flows of a flow model.
struct flow_tally
{
    std::uint64_t completed{0};
    /// Reset by an upstream that does not know the flow, or without progress.
    std::uint64_t broken{0};
    /// As broken, but the upstream died, no path to it existed, or the flow was
    /// younger than 2 s when an instance was killed.
    std::uint64_t excused{0};

    auto operator<=>(const flow_tally&) const = default;
};

/// Callers whose packets reach the instances at random, and upstreams that
/// announce themselves once a second. Callers and upstreams with an odd number
/// are in the data centre of the last two instances.
class flow_model
{
public:
    flow_model(design_kind design, std::vector<model_request> demand,
               std::uint64_t seed);

    /// Lets time pass.
    void run_until(time_point end) { events_.run_until(end); }

    /// Runs until no flow is open or limit is over.
    void finish(duration limit);

    void add_upstream(unsigned index);
    void drain_upstream(unsigned index);
    void kill_upstream(unsigned index);
    void change_weights();
    void start_instance(unsigned instance);
    void stop_instance(unsigned instance);
    void kill_instance(unsigned instance);
    void cut_data_centre();
    void join_data_centre();

    const flow_tally& tally() const { return tally_; }
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
    void reach(unsigned instance, upstream_id upstream,
               const coordination::packet_event& event);
    void receive(upstream_state& upstream, std::uint64_t flow,
                 const protocol::inner_packet& packet);
    void end(std::uint64_t flow, bool completed);
    void excuse_young_flows();
    unsigned side_of_instance(unsigned instance) const;
    unsigned side_of_index(std::uint64_t index) const;
    unsigned pick_instance(unsigned side);

    event_queue events_;
    random_generator random_;
    network_delays delays_;
    std::vector<caller_flow> flows_;
    std::map<upstream_id, upstream_state> upstreams_;
    std::shared_ptr<state::configuration> configuration_;
    std::unique_ptr<routing_design> design_;
    std::uint64_t open_{0};
    bool cut_{false};
    flow_tally tally_;
};

} // namespace boragestand::model
