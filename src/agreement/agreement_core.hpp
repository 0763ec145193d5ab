#pragma once

#include "agreement/agreement_events.hpp"
#include "agreement/agreement_log.hpp"

namespace boragestand::agreement
{

/// State that all roles of a replica share: term, vote, log, commit index and
/// the effects of the current step. Puts storage effects first, so that entries
/// and votes are durable before any message is sent.
class agreement_core
{
public:
    agreement_core(agreement_start start, const agreement_settings& settings);

    const agreement_settings& settings() const { return settings_; }
    replica_id self() const { return hard_state_.self; }
    std::uint64_t term() const { return hard_state_.term; }
    replica_id vote() const { return hard_state_.vote; }
    std::uint64_t seed() const { return seed_; }
    const agreement_log& log() const { return log_; }
    std::uint64_t commit_index() const { return commit_index_; }

    /// Whether this replica votes according to its newest group.
    bool is_voter() const { return log_.group().is_voter(self()); }

    /// Sets term and vote; they become durable with the effects of this step.
    void set_term_and_vote(std::uint64_t term, replica_id vote);

    /// Appends one entry of the current term and returns its index.
    std::uint64_t append_entry(protocol::entry_kind kind, std::string data);

    /// Stores entries from the leader that follow a matching log position and
    /// skips those already stored. False if they conflict with a committed
    /// entry.
    bool store_entries(const std::vector<protocol::log_entry>& entries);

    /// Raises the commit index and emits the newly committed entries for the
    /// state machine.
    void advance_commit_index(std::uint64_t index);

    /// Replaces the log and the state machine with a snapshot from the leader.
    void install_snapshot(protocol::agreement_snapshot snapshot);

    /// Compacts the log; ignored unless the index is committed and not yet
    /// compacted.
    void compact(const snapshot_taken& taken);

    /// Adds a message to the effects.
    void send(replica_id to, const transport::endpoint& address,
              protocol::agreement_message message, std::uint64_t term);

    /// Adds a message of the current term to a member of the group.
    void send_to_member(replica_id to, protocol::agreement_message message);

    /// Adds an effect other than a storage effect.
    void add_effect(agreement_effect effect);

    /// Ends the step and returns its effects in execution order.
    agreement_effects take_effects();

private:
    void request_snapshot_if_due();

    agreement_settings settings_;
    state::hard_state hard_state_;
    transport::endpoint address_;
    std::uint64_t seed_;
    agreement_log log_;
    std::uint64_t commit_index_{0};
    std::uint64_t requested_snapshot_{0};
    /// Of committed entries after the newest snapshot, taken or requested.
    std::uint64_t committed_bytes_{0};

    bool hard_state_changed_{false};
    std::vector<protocol::log_entry> unsaved_entries_;
    std::optional<persist_snapshot> unsaved_snapshot_;
    agreement_effects effects_;
};

} // namespace boragestand::agreement
