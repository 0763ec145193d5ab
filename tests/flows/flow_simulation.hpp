#pragma once

#include "coordination/coordination.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace boragestand::coordination::testing
{

/// Load, network and faults of a simulation.
struct simulation_options
{
    std::uint64_t seed{1};
    unsigned instances{6};
    double flows_per_second{150};
    double long_percent{5};
    double loss_percent{0};      ///< of packets and messages
    double duplicate_percent{0}; ///< of messages between instances
    duration jitter{std::chrono::microseconds(500)};
    bool with_udp{false};
    unsigned desk_upstreams{8};
    router_faults faults;
    /// High enough that the budgets do not limit scenarios with few flows.
    double pin_bytes_per_second{20000};
    double control_bytes_per_second{10000};
};

/// Outcomes of the flows of a simulation.
struct simulation_result
{
    unsigned completed{0};
    unsigned broken{0};  ///< reset by an upstream or stuck
    unsigned excused{0}; ///< upstream dead, or too young at a kill
    unsigned refused{0};
    unsigned unfinished_stops{0};
    unsigned wrong_service{0};
    unsigned two_upstreams{0};   ///< data at a second upstream
    unsigned ran_twice{0};       ///< orders at a second upstream, never excused
    unsigned late_placements{0}; ///< flows opened on an upstream that drains
    std::vector<std::string> details;
};

/// Routers, a network that loses, delays, repeats and partitions, upstreams
/// that announce themselves, and callers, in simulated time from one seed.
/// Packets of a flow reach the instances of its side at random.
class flow_simulation
{
public:
    explicit flow_simulation(const simulation_options& options);

    /// Advances the simulated time.
    void run(duration span);

    /// Starts no more flows and runs until the open ones have ended, for up to
    /// 60 s.
    simulation_result finish();

    void kill(unsigned instance);
    void start(unsigned instance);
    void start_if_down(unsigned instance);
    void stop(unsigned instance);
    void freeze(unsigned instance, duration span);
    /// Separates the instances above this number, and the upstreams and callers
    /// of that side, from the others.
    void partition(unsigned last_instance);
    void heal();
    void set_loss(double percent) { options_.loss_percent = percent; }

    void add_upstream(service_id service, unsigned number);
    void drain(service_id service, unsigned number);
    void kill_upstream(service_id service, unsigned number);
    /// Stops the announcements of a live upstream.
    void stop_announcements(service_id service, unsigned number);
    /// Puts a changed configuration into force at all instances.
    void configure(const std::function<void(state::configuration&)>& change);

    time_point now() const { return now_; }
    /// Null if the instance does not run.
    flow_router* router(unsigned instance);
    std::size_t open_flows() const { return open_; }

    static constexpr service_id desk{1};
    static constexpr service_id maps{2};
    static constexpr service_id orders{3};

private:
    struct fake_upstream
    {
        protocol::upstream_record record;
        std::set<std::uint32_t> connections;
        bool alive{true};
        bool announcements_stopped{false};
        time_point drains_since{time_point::max()};
    };

    struct simulated_instance
    {
        std::unique_ptr<flow_router> router;
        std::uint64_t generation{0};
        time_point frozen_until{};
        std::map<std::uint64_t, packet_event> held;
        bool stopping{false};
    };

    struct caller_flow
    {
        std::uint32_t number{0};
        service_id service;
        time_point started;
        time_point ends;
        bool is_long{false};
        bool is_udp{false};
        unsigned side{0};
        fake_upstream* bound{nullptr};
        bool fin_sent{false};
        bool over{false};
        std::uint32_t progress{0};
        duration syn_wait{std::chrono::seconds(1)};
        std::set<const fake_upstream*> data_at;
    };

    using action = std::function<void()>;
    struct scheduled
    {
        time_point at;
        std::uint64_t order;
        action run;
        bool operator<(const scheduled& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(duration delay, action run);
    duration latency();
    bool lost();
    unsigned side_of(unsigned instance) const;
    unsigned side_of(const fake_upstream& upstream) const;
    bool reachable(unsigned left, unsigned right) const;
    std::vector<unsigned> running(unsigned side) const;

    void tick(unsigned instance, std::uint64_t generation);
    void step(unsigned instance, decltype(router_event::content) what);
    void apply_effects(unsigned instance, router_effects effects);
    void announce(fake_upstream& upstream);
    void start_next_flow();
    void send(caller_flow& flow, bool syn, bool fin, bool data);
    void deliver(unsigned instance, packet_event event);
    void apply_decision(unsigned instance, const packet_event& event,
                        const packet_decision& decision);
    void deliver_to_upstream(fake_upstream& upstream, service_id service,
                             const packet_event& event);
    void deliver_udp_to_upstream(fake_upstream& upstream, caller_flow& flow);
    void open_tcp(caller_flow& flow);
    void retry_syn(caller_flow& flow);
    void continue_flow(caller_flow& flow);
    bool was_partitioned(const caller_flow& flow) const;
    void end(caller_flow& flow, bool completed, const std::string& why);

    simulation_options options_;
    random_generator random_;
    time_point now_{std::chrono::seconds(1000)};
    std::uint64_t order_{0};
    std::priority_queue<scheduled> queue_;
    std::vector<simulated_instance> instances_;
    std::map<std::pair<service_id, upstream_id>, fake_upstream> upstreams_;
    std::map<std::uint32_t, caller_flow> flows_;
    std::shared_ptr<const state::configuration> configuration_;
    std::vector<time_point> failure_times_;
    time_point partitioned_at_{};
    /// Last instance on the first side of the partition; 0 without one.
    unsigned last_on_first_side_{0};
    bool new_flows_enabled_{true};
    std::uint32_t next_flow_{1};
    std::uint64_t next_ticket_{1};
    std::size_t open_{0};
    simulation_result result_;
};

} // namespace boragestand::coordination::testing
