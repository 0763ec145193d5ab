#pragma once

#include "base/metrics_text.hpp"
#include "fleet/directory_client.hpp"
#include "fleet/directory_server.hpp"
#include "fleet/directory_store.hpp"
#include "fleet/leave_confirmations.hpp"
#include "fleet/plan_machine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace boragestand::fleet
{

/// How a control instance of a fleet is set up.
struct control_node_settings
{
    transport::endpoint address; ///< where other instances reach it
    transport::endpoint listen;  ///< where its HTTP/2 server listens
    std::string data_directory;
    /// Instances to ask for the group, or the first group itself.
    std::vector<transport::endpoint> seeds;
    bool may_found{false}; ///< the whole fleet starts for the first time
    coordination::registry_settings registry;
    coordination::agreement_settings agreement;
};

/// A control instance of a fleet whose instances find each other: keeps the
/// replicated plan, the registry of upstreams, and answers entry instances.
class control_node
{
public:
    using done_callback = std::function<void(result<void>)>;
    using plan_callback = std::function<void(
        result<std::shared_ptr<const state::submitted_plan>>)>;

    /// Opens disk and server and starts. stop is called when the process must
    /// end: with an error, or without one to start again on an empty disk.
    static result<std::unique_ptr<control_node>>
    open(transport::main_loop& loop, transport::timer_service& timers,
         const control_node_settings& settings, fleet_log& log,
         std::function<void(std::optional<error>)> stop);

    /// Takes a heartbeat. That an upstream leaves is answered once a majority
    /// of the group knows it; error_kind::no_quorum otherwise.
    void take_heartbeat(const coordination::registered_upstream& record,
                        done_callback callback);

    /// Takes a leave; answered like a heartbeat of a leaving upstream.
    void take_leave(std::uint64_t upstream,
                    std::optional<std::uint64_t> incarnation,
                    done_callback callback);

    /// Puts a plan into force. error_kind::invalid_argument if it is invalid,
    /// error_kind::not_leader on other instances than the leader.
    void submit(state::submitted_plan plan, done_callback callback);

    /// The plan in force, proved to be the newest one. Errors as of submit();
    /// error_kind::not_found if there is none yet.
    void read(plan_callback callback);

    /// Address of the group's leader, if another instance leads.
    std::optional<transport::endpoint> other_leader() const;

    /// Instances to ask for the group from now on.
    void set_seeds(std::vector<transport::endpoint> seeds);

    /// Hands leadership over before a planned stop.
    void hand_over() { runner_->transfer_leadership(); }

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
    void follow_members();
    void follow(const transport::endpoint& member);
    void take(const coordination::directory_reply& reply);
    void remove_silent_member(time_point now);
    void expire(time_point now);
    void load_directory();
    void save_directory(time_point now);
    std::shared_ptr<const state::routing_plan> newest_plan() const;
    void confirm_leave(std::uint64_t upstream, std::uint64_t sequence,
                       done_callback callback);
    bool known_to_majority(std::uint64_t cursor) const;
    std::vector<transport::endpoint> member_addresses() const;
    directory_server::view describe() const;
    void retire();

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
    std::uint64_t saved_cursor_{0};
    time_point saved_at_{};
    directory_server directory_;
    std::map<transport::endpoint, std::unique_ptr<directory_client>> followed_;
    leave_confirmations leaves_;
    std::unique_ptr<transport::http2_server> server_;
    transport::subscription ticks_;
    time_point started_;
    time_point group_changed_;
    std::uint64_t group_index_{0};
    duration_histogram submissions_;
    bool removing_{false};
    bool current_{false};
};

} // namespace boragestand::fleet
