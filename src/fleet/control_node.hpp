#pragma once

#include "base/metrics_text.hpp"
#include "fleet/directory_client.hpp"
#include "fleet/directory_server.hpp"
#include "fleet/directory_store.hpp"
#include "fleet/fault_tolerance.hpp"
#include "fleet/fleet_times.hpp"
#include "fleet/leave_confirmations.hpp"
#include "fleet/log_limits.hpp"
#include "fleet/plan_machine.hpp"
#include "fleet/save_schedule.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace boragestand::fleet
{

/// Settings of a control instance.
struct control_node_settings
{
    transport::endpoint address; ///< where other instances reach it
    transport::endpoint listen;  ///< where its HTTP/2 server listens
    std::string data_directory;
    /// Instances to ask for the group, or the first group itself.
    std::vector<transport::endpoint> seeds;
    bool may_found{false}; ///< a group, at the first start of the fleet
    /// All data centres; empty if they are not known.
    std::vector<std::string> data_centres;
    fault_tolerance tolerance; ///< that the control group keeps
    coordination::warmup_granter_settings warmup;
    coordination::registry_settings registry;
    agreement::agreement_settings replication;
    /// Its snapshot interval replaces that of replication.
    log_limits limits{log_limits_for(0, 0)};
};

/// A plan that was checked and encoded for the replicated log.
struct prepared_plan
{
    std::uint64_t version{0};
    std::string command;

    auto operator<=>(const prepared_plan&) const = default;
};

/// Checks and encodes a plan. error_kind::invalid_argument if it is invalid,
/// error_kind::resource_exhausted if control instances could not read it. May
/// run on any thread.
result<prepared_plan> prepare_plan(const state::submitted_plan& plan);

/// A control instance of a fleet with automatic discovery. Replicates the plan,
/// keeps the registry of upstreams and serves both to entry instances.
class control_node
{
public:
    using done_callback = std::function<void(result<void>)>;
    using plan_callback = std::function<void(
        result<std::shared_ptr<const state::submitted_plan>>)>;

    /// Opens disk and server and starts. stop is called when the node must
    /// stop: with an error, or without one to restart on an empty disk.
    static result<std::unique_ptr<control_node>>
    open(transport::main_loop& loop, transport::timer_service& timers,
         const control_node_settings& settings, fleet_log& log,
         std::function<void(std::optional<error>)> stop);

    /// Handles a heartbeat. A heartbeat of a leaving upstream is answered once
    /// a majority of the group has it; error_kind::no_quorum otherwise.
    /// error_kind::invalid_argument if the upstream cannot be used.
    void handle_heartbeat(const coordination::registered_upstream& record,
                          done_callback callback);

    /// Handles the leave of an upstream; answered like a heartbeat of a leaving
    /// upstream.
    void handle_leave(std::uint64_t upstream,
                      std::optional<std::uint64_t> incarnation,
                      done_callback callback);

    /// Puts a plan into force. Errors as of prepare_plan();
    /// error_kind::not_leader on other instances than the leader.
    void submit(const state::submitted_plan& plan, done_callback callback);
    void submit(prepared_plan plan, done_callback callback);

    /// Puts an evacuation, or its end, into force. An order that changes
    /// nothing succeeds. error_kind::not_found if the data centre is not known,
    /// error_kind::not_leader on other instances than the leader.
    void submit(const state::evacuation_order& order, done_callback callback);

    /// Linearizable read of the plan in force. Errors as of submit();
    /// error_kind::not_found if there is none yet.
    void read(plan_callback callback);

    /// Address of the group's leader, if another instance leads.
    std::optional<transport::endpoint> other_leader() const;

    /// Replaces the instances to ask for the group.
    void set_seeds(std::vector<transport::endpoint> seeds);

    /// Transfers leadership before a planned stop.
    void transfer_leadership() { runner_->transfer_leadership(); }

    bool is_leader() const { return runner_->is_leader(); }
    bool has_open_requests() const { return runner_->has_pending_requests(); }

    /// Whether this instance is in contact with a majority of its group.
    bool is_current() const;

    const coordination::upstream_registry& registry() const
    {
        return registry_;
    }
    const state::routing_plan& plan() const { return machine_.current()->plan; }
    const replica::replica_runner& runner() const { return *runner_; }

    /// Metrics in the Prometheus text format.
    std::string metrics() const;
    std::size_t entry_count() const { return directory_.entry_count(); }

private:
    control_node(transport::main_loop& loop, transport::timer_service& timers,
                 const control_node_settings& settings, fleet_log& log,
                 std::function<void(std::optional<error>)> stop,
                 std::unique_ptr<replica::replica_disk> disk,
                 std::unique_ptr<state::file_disk> files);

    result<void> start();
    void handle(const transport::http_request& request,
                const directory_server::exchange& answer);
    void tick(time_point now);
    void update_member_clients();
    void add_member_client(const transport::endpoint& member);
    void apply_reply(const coordination::directory_reply& reply);
    coordination::address_claim
    claim_of(const coordination::registered_upstream& record) const;
    void remove_silent_member(time_point now);
    void expire_upstreams(time_point now);
    void load_directory();
    void save_directory(time_point now);
    std::shared_ptr<const state::routing_plan> newest_plan() const;
    bool is_known_data_centre(const std::string& name) const;
    void record_ended_evacuations();
    std::vector<coordination::evacuation_notice> evacuations() const;
    void append_evacuation_metrics(std::string& text) const;
    std::uint32_t warmup_rate(const std::string& service) const;
    void confirm_leave(std::uint64_t upstream, std::uint64_t sequence,
                       done_callback callback);
    bool is_acknowledged_by_majority(std::uint64_t cursor) const;
    std::vector<transport::endpoint> member_addresses() const;
    directory_server::view make_directory_view() const;
    void discard_identity();

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    control_node_settings settings_;
    fleet_log& log_;
    std::function<void(std::optional<error>)> stop_;
    replica::peer_link peers_;
    plan_machine machine_;
    std::unique_ptr<replica::replica_runner> runner_;
    replica::member_service members_;
    replica::group_founding founding_;
    replica::group_api group_;
    coordination::upstream_registry registry_;
    directory_store store_;
    std::shared_ptr<const state::routing_plan> saved_plan_;
    std::vector<coordination::evacuation_notice> saved_evacuations_;
    /// End of an evacuation as this instance has learned of it.
    struct evacuation_end
    {
        std::uint64_t index{0}; ///< of the order in the log
        time_point at;
    };
    std::map<std::string, evacuation_end> evacuations_ended_;
    save_schedule saves_;
    directory_server directory_;
    std::map<transport::endpoint, std::unique_ptr<directory_client>>
        member_clients_;
    leave_confirmations leaves_;
    coordination::warmup_granter granter_;
    std::unique_ptr<transport::http2_server> server_;
    transport::subscription ticks_;
    time_point started_;
    agreement::member_joins joins_{lost_member_silence + successor_delay};
    duration_histogram submissions_;
    bool removal_pending_{false};
    bool was_current_{false};
};

} // namespace boragestand::fleet
