#pragma once

#include "control_state_machine.hpp"

namespace boragestand::control
{

/// Runs the replica of this control instance and gives it a typed command
/// interface.
class replica_host
{
public:
    using command_callback =
        std::function<void(result<state::command_outcome>)>;
    using index_callback = replica::replica_runner::index_callback;

    /// Callbacks into the program.
    struct hooks
    {
        /// The configuration has a new revision.
        std::function<void()> configuration_changed;
        /// The process must stop: a disk failed or an invariant is broken.
        std::function<void(const error&)> failed;
    };

    replica_host(std::unique_ptr<replica::replica_disk> disk,
                 const transport::endpoint& address, std::uint64_t seed,
                 transport::timer_service& timers, replica::peer_link& peers,
                 control_log& log, const hooks& callbacks);

    /// The following functions forward to replica_runner.
    result<void> start() { return runner_.start(); }
    void found(const protocol::replica_group& group) { runner_.found(group); }
    void receive(const protocol::agreement_envelope& envelope)
    {
        runner_.receive(envelope);
    }
    void change(const agreement::membership_change& change,
                index_callback callback)
    {
        runner_.change(change, std::move(callback));
    }
    void read(index_callback callback) { runner_.read(std::move(callback)); }
    void transfer_leadership() { runner_.transfer_leadership(); }
    const agreement::agreement_node& node() const { return runner_.node(); }
    bool is_leader() const { return runner_.is_leader(); }
    std::optional<transport::endpoint> leader_address() const
    {
        return runner_.leader_address();
    }
    bool has_pending_requests() const { return runner_.has_pending_requests(); }

    /// Proposes a command. callback receives the outcome after a majority has
    /// synced the command to disk and this instance has applied it.
    void submit(const state::command& command, command_callback callback);

    /// The replica, for components that need no typed commands.
    replica::replica_runner& runner() { return runner_; }

    const state::control_state& state() const { return machine_.state(); }

private:
    control_state_machine machine_;
    replica::replica_runner runner_;
};

} // namespace boragestand::control
