#pragma once

#include "../support/crash_disk.hpp"
#include "agreement/agreement_node.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragestand::testing
{

/// What a simulated replica reports to the group that it is part of.
class replica_observer
{
public:
    virtual ~replica_observer() = default;
    virtual void sent(std::uint32_t from,
                      const agreement::send_message& message) = 0;
    virtual void applied(std::uint32_t instance,
                         const protocol::log_entry& entry,
                         const std::string& state) = 0;
    virtual void restored(std::uint32_t instance,
                          const protocol::agreement_snapshot& snapshot) = 0;
    virtual void became_leader(std::uint32_t instance, std::uint64_t term) = 0;
    virtual void answered(std::uint64_t token,
                          const result<std::uint64_t>& outcome) = 0;
    virtual void invariant_broken(std::uint32_t instance,
                                  const std::string& what) = 0;
};

/// One instance: an agreement_node with its durable storage on a crash_disk
/// and a state machine that is the list of distinct commands, so that a
/// command that is submitted twice runs once.
class simulated_replica
{
public:
    simulated_replica(std::uint32_t instance, std::uint64_t seed,
                      agreement::agreement_settings settings,
                      replica_observer& observer);

    /// Gives the empty disk its identity; a founding member gets the group.
    void create(const std::optional<protocol::replica_group>& founders);

    /// Starts the process from the disk; it may stop at a crash point again.
    void start();

    /// Stops the process at once; unsynced data is lost.
    void kill();

    /// Loses the disk and restarts under a new identity.
    void lose_disk();

    /// Processes an event; a frozen replica keeps messages for later.
    void step(const agreement::agreement_event& event);

    void freeze() { frozen_ = true; }
    void thaw(time_point now);

    bool running() const { return node_ != nullptr; }
    bool frozen() const { return frozen_; }
    replica_id identity() const { return identity_; }
    replica_id previous_identity() const { return previous_identity_; }
    std::uint32_t instance() const { return instance_; }
    transport::endpoint address() const { return {instance_, 1}; }
    const agreement::agreement_node* node() const { return node_.get(); }
    bool leads() const;
    crash_disk& disk() { return disk_; }

    /// Commands in the order in which they took effect.
    const std::vector<std::string>& commands() const { return commands_; }
    bool holds(const std::string& command) const;

    /// Entries on disk after the snapshot, by index.
    const std::map<std::uint64_t, protocol::log_entry>& entries() const
    {
        return entries_;
    }

private:
    void recover();
    void carry_out(const agreement::agreement_effects& effects, time_point now);
    void run(const agreement::persist_hard_state& effect);
    void run(const agreement::persist_snapshot& effect);
    void run(const agreement::persist_entries& effect);
    void run(const agreement::send_message& effect);
    void run(const agreement::restore_snapshot& effect);
    void run(const agreement::apply_entry& effect);
    void run(const agreement::proposal_done& effect);
    void run(const agreement::read_done& effect);
    void run(const agreement::snapshot_requested& effect);
    void run(const agreement::role_changed& effect);
    void run(const agreement::invariant_broken& effect);
    void restore(const std::string& data);
    std::string encoded_state() const;

    std::uint32_t instance_;
    std::uint64_t seed_;
    std::uint32_t generation_{0};
    agreement::agreement_settings settings_;
    replica_observer& observer_;
    crash_disk disk_;
    replica_id identity_;
    replica_id previous_identity_;
    std::unique_ptr<state::hard_state_store> hard_state_;
    std::unique_ptr<state::snapshot_store> snapshots_;
    std::optional<state::durable_log> log_;
    std::unique_ptr<agreement::agreement_node> node_;
    std::map<std::uint64_t, protocol::log_entry> entries_;
    std::vector<std::string> commands_;
    std::set<std::string> known_commands_;
    std::optional<std::uint64_t> requested_snapshot_;
    std::deque<agreement::agreement_event> queued_events_;
    bool frozen_{false};
};

} // namespace boragestand::testing
