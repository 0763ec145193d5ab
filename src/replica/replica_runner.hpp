#pragma once

#include "replica/peer_link.hpp"
#include "replica/replica_disk.hpp"
#include "replica/replica_log.hpp"
#include "replica/state_machine.hpp"
#include "replica/storage_reserve.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace boragestand::replica
{

/// Runs the agreement_node of an instance: executes its effects on disk,
/// network and state machine, and invokes the callbacks of requests.
class replica_runner
{
public:
    using index_callback = std::function<void(result<std::uint64_t>)>;

    /// Dependencies of the runner; all but the disk must outlive it.
    struct parts
    {
        transport::timer_service& timers;
        peer_link& peers;
        state_machine& machine;
        replica_log& log;
    };

    /// failed is called when the process must stop: a disk failed or an
    /// invariant is broken. A full disk does not stop it.
    replica_runner(std::unique_ptr<replica_disk> disk,
                   const transport::endpoint& address, std::uint64_t seed,
                   const parts& surroundings,
                   const agreement::agreement_settings& settings,
                   std::function<void(const error&)> failed,
                   storage_reserve reserve = {});

    /// Restores the state machine from the disk and starts the replica.
    result<void> start();

    /// Makes the first group durable and goes on as one of its members. The
    /// process stops if that fails.
    void found(const protocol::replica_group& founders);

    /// Handles a message from another control instance.
    void receive(const protocol::agreement_envelope& envelope);

    /// Replicates a command. The callback gets its index right after the state
    /// machine has applied it, while the step still runs: it may only read the
    /// state machine and defer(). error_kind::storage_full if this leader's
    /// disk has no room for it; it has not run then.
    void submit(std::string command, index_callback callback);

    /// Changes the members of the group.
    void change(const agreement::membership_change& change,
                index_callback callback);

    /// Calls back once the state holds everything that was answered before.
    void read(index_callback callback);

    /// Runs the callback at the end of the current step.
    void defer(std::function<void()> callback);

    /// Transfers leadership to another voter if this instance leads.
    void transfer_leadership();

    /// Bytes that can still be written to the disk.
    result<std::uint64_t> free_bytes() const { return disk_->free_bytes(); }

    const agreement::agreement_node& node() const { return *node_; }
    bool is_leader() const;

    /// Address of the leader, if known.
    std::optional<transport::endpoint> leader_address() const;

    /// Whether submitted requests are still pending.
    bool has_pending_requests() const
    {
        return !command_callbacks_.empty() || !deferred_callbacks_.empty();
    }

private:
    void step(decltype(agreement::agreement_event::input) input);
    void carry_out(const agreement::agreement_effects& effects);
    result<void> run(const agreement::persist_hard_state& effect);
    result<void> run(const agreement::persist_snapshot& effect);
    result<void> run(const agreement::persist_entries& effect);
    result<void> run(const agreement::send_message& effect);
    result<void> run(const agreement::restore_snapshot& effect);
    result<void> run(const agreement::apply_entry& effect);
    result<void> run(const agreement::proposal_done& effect);
    result<void> run(const agreement::read_done& effect);
    result<void> run(const agreement::snapshot_requested& effect);
    result<void> run(const agreement::role_changed& effect);
    result<void> run(const agreement::invariant_broken& effect);
    void make_node(agreement::agreement_start start);
    void restart_replica(const error& cause);
    std::optional<std::uint64_t> free_space();
    void fail_pending_requests(const error& cause);
    void refuse_for_room(std::uint64_t free, const index_callback& callback);
    void drop_entries_without_room(protocol::append_request& request);
    void finish_step();
    void report_failure(const error& cause);
    void complete_request(std::uint64_t token,
                          const result<std::uint64_t>& index);

    std::unique_ptr<replica_disk> disk_;
    transport::endpoint address_;
    std::uint64_t seed_;
    parts parts_;
    agreement::agreement_settings settings_;
    std::function<void(const error&)> failure_callback_;
    storage_reserve reserve_;
    std::optional<time_point> transferred_;
    bool free_space_unknown_{false}; ///< and logged
    std::uint64_t applied_{0};       ///< index of the last applied entry
    std::unique_ptr<agreement::agreement_node> node_;
    transport::subscription ticks_;

    std::uint64_t next_token_{1};
    std::map<std::uint64_t, index_callback> command_callbacks_;
    std::map<std::uint64_t, index_callback> deferred_callbacks_;
    std::optional<std::uint64_t> requested_snapshot_;
    std::vector<std::function<void()>> end_of_step_callbacks_;
    bool failed_{false};
};

} // namespace boragestand::replica
