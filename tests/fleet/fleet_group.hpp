#pragma once

#include "fleet/fleet.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boragestand::fleet
{

/// The log of this process, which can be opened only once.
settings::event_log& process_log();

/// Control and entry instances of one fleet in one process and on one loop,
/// with real sockets and data directories. The first three control instances
/// are the seeds.
class fleet_group
{
public:
    fleet_group();
    ~fleet_group();

    /// Sets what control instances that start from now on must tolerate; the
    /// loss of one of them by default.
    void set_tolerance(const fault_tolerance& tolerance)
    {
        tolerance_ = tolerance;
    }

    /// Starts a control instance.
    void start(std::uint32_t number, bool first_start = true);

    /// Stops a control instance abruptly.
    void kill(std::uint32_t number);

    /// Deletes the data directory of a stopped control instance.
    void lose_disk(std::uint32_t number);

    /// Runs the loop until the condition holds; false if it does not hold
    /// within a generous time limit.
    bool run_until(const std::function<bool()>& condition);

    /// Runs the loop for a time.
    void run_for(duration time);

    /// Whether a leader's group has exactly this many voters and no learner,
    /// and contains all running instances with their current identities.
    bool has_voters(std::size_t count);

    /// Number of the leader, 0 if none.
    std::uint32_t leader();

    /// Submits a plan to the leader, with retries, until it is acknowledged.
    result<void> submit(std::uint64_t version, const std::string& document);

    /// Orders an evacuation or its end at the leader, with retries, until it is
    /// acknowledged.
    result<void> evacuate(const std::string& data_centre, bool active);

    /// Reads the plan's document from the leader; empty if there is none.
    std::string read();

    /// Sends the heartbeat of an upstream; none if it is not answered.
    std::optional<result<void>>
    send_heartbeat(std::uint32_t number,
                   const coordination::registered_upstream& record);

    /// A new entry instance, with the fleet's seeds.
    std::unique_ptr<entry_node> make_entry() { return make_entry(seeds()); }
    std::unique_ptr<entry_node>
    make_entry(const std::vector<transport::endpoint>& seeds);

    control_node& at(std::uint32_t number) { return *nodes_.at(number); }
    transport::endpoint address(std::uint32_t number) const;
    std::vector<transport::endpoint> seeds() const;
    std::uint32_t number_of(const transport::endpoint& instance) const
    {
        return instance.address - network_;
    }
    transport::timer_service& timers() { return timers_; }

private:
    using done_callback = std::function<void(result<void>)>;

    std::string directory(std::uint32_t number) const;
    result<void>
    ask_leader(const std::function<void(control_node&, done_callback)>& ask);

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    std::string root_;
    std::uint32_t network_;
    fleet_log log_;
    fault_tolerance tolerance_{1, std::nullopt, 0};
    std::map<std::uint32_t, std::unique_ptr<control_node>> nodes_;
};

/// A plan with one route to the service "desk".
state::submitted_plan make_plan(std::uint64_t version,
                                const std::string& document);

/// The record of an upstream of the service "desk".
coordination::registered_upstream
make_upstream(std::uint64_t id, std::uint64_t sequence,
              coordination::upstream_condition condition =
                  coordination::upstream_condition::ready);

} // namespace boragestand::fleet
