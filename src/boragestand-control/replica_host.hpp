#pragma once

#include "control_log.hpp"
#include "peer_link.hpp"
#include "replica_disk.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace boragestand::control
{

/// Runs the agreement_node of this instance: carries its effects out on disk,
/// network and state machine, and hands answers to those who asked.
class replica_host
{
public:
    using command_callback =
        std::function<void(result<state::command_outcome>)>;
    using index_callback = std::function<void(result<std::uint64_t>)>;

    /// Callbacks to the program.
    struct hooks
    {
        /// The configuration has a new revision.
        std::function<void()> configuration_changed;
        /// The process must stop: a disk failed or an invariant is broken.
        std::function<void(const error&)> failed;
    };

    replica_host(std::unique_ptr<replica_disk> disk,
                 const transport::endpoint& address, std::uint64_t seed,
                 transport::timer_service& timers, peer_link& peers,
                 control_log& log, hooks callbacks);

    /// Restores the state machine from the disk and starts the replica.
    result<void> start();

    /// Makes the first group durable and goes on as one of its members. The
    /// process stops if that fails.
    void found(const protocol::replica_group& founders);

    /// Takes a message of another control instance.
    void receive(const protocol::agreement_envelope& envelope);

    /// Runs a command. The outcome comes after a majority has synced it and
    /// this instance has applied it.
    void submit(const state::command& command, command_callback callback);

    /// Changes the members of the group.
    void change(const coordination::membership_change& change,
                index_callback callback);

    /// Calls back once the state holds everything that was answered before.
    void read(index_callback callback);

    /// Hands leadership over, if this instance leads.
    void hand_over();

    const coordination::agreement_node& node() const { return *node_; }
    const state::control_state& state() const { return state_; }
    bool is_leader() const;

    /// Address of the leader, if known.
    std::optional<transport::endpoint> leader_address() const;

    /// Whether requests wait for the group.
    bool has_open_requests() const
    {
        return !commands_.empty() || !indexes_.empty();
    }

private:
    void step(decltype(coordination::agreement_event::input) input);
    void carry_out(const coordination::agreement_effects& effects);
    result<void> run(const coordination::persist_hard_state& effect);
    result<void> run(const coordination::persist_snapshot& effect);
    result<void> run(const coordination::persist_entries& effect);
    result<void> run(const coordination::send_message& effect);
    result<void> run(const coordination::restore_snapshot& effect);
    result<void> run(const coordination::apply_entry& effect);
    result<void> run(const coordination::proposal_done& effect);
    result<void> run(const coordination::read_done& effect);
    result<void> run(const coordination::snapshot_wanted& effect);
    result<void> run(const coordination::role_changed& effect);
    result<void> run(const coordination::invariant_broken& effect);
    result<void> restore(const std::string& data);
    void finish_step();
    void stop_for(const error& cause);
    void answer(std::uint64_t token, const result<std::uint64_t>& index);

    std::unique_ptr<replica_disk> disk_;
    transport::endpoint address_;
    std::uint64_t seed_;
    transport::timer_service& timers_;
    peer_link& peers_;
    control_log& log_;
    hooks callbacks_;
    state::control_state state_;
    std::unique_ptr<coordination::agreement_node> node_;
    transport::subscription ticks_;

    std::uint64_t next_token_{1};
    std::map<std::uint64_t, command_callback> commands_;
    std::map<std::uint64_t, index_callback> indexes_;
    /// Outcomes of the entries that the current step applied, by index.
    std::map<std::uint64_t, state::command_outcome> outcomes_;
    std::optional<std::uint64_t> wanted_snapshot_;
    std::vector<std::function<void()>> answers_;
    std::uint64_t published_revision_{0};
    bool failed_{false};
};

} // namespace boragestand::control
