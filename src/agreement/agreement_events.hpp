#pragma once

#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragestand::agreement
{

/// Disables individual safety rules of the algorithm. Only tests set these, to
/// show that a scenario fails without the rule; programs leave all of them
/// false.
struct agreement_faults
{
    bool skip_pre_vote{false};     ///< start an election without a pre-vote
    bool skip_check_quorum{false}; ///< stay leader without a majority
    bool answer_before_sync{
        false};                ///< send before entries and votes are synced
    bool promote_early{false}; ///< promote a learner that lags
    bool concurrent_changes{false};   ///< allow overlapping changes
    bool commit_earlier_terms{false}; ///< commit earlier terms by counting

    auto operator<=>(const agreement_faults&) const = default;
};

/// Limits and times of one replica.
struct agreement_settings
{
    duration heartbeat_interval{std::chrono::milliseconds(100)};
    /// Minimum time without a leader before an election; the actual timeout is
    /// random between this and twice this.
    duration election_timeout{std::chrono::milliseconds(600)};
    /// Election timeout until the first contact with a leader since the start.
    /// It can be shorter, as members that start together have no leader to
    /// wait for; pre-votes prevent it from disrupting an existing leader.
    std::optional<duration> first_election_timeout{};
    std::size_t max_append_entries{256};
    std::size_t max_append_bytes{512 * 1024};
    std::size_t chunk_size{256 * 1024};    ///< of a snapshot transfer
    std::uint64_t snapshot_interval{1000}; ///< entries between snapshots
    /// Bytes of committed entries between snapshots; a snapshot is due when
    /// either interval is reached.
    std::uint64_t snapshot_interval_bytes{8 * 1024 * 1024};
    std::size_t max_pending_proposals{1024};
    agreement_faults faults; ///< for tests only
};

/// Initial state of a replica, as read from its disk.
struct agreement_start
{
    state::hard_state hard;
    /// A founding member has one at index 0 that holds the first group.
    std::optional<protocol::agreement_snapshot> snapshot;
    std::vector<protocol::log_entry> entries;
    transport::endpoint address; ///< own HTTP/2 address
    std::uint64_t seed{0};       ///< of the election timeouts
    /// Index of the last entry that the state machine has applied, if it was
    /// kept while the replica alone restarts; 0 otherwise.
    std::uint64_t applied{0};
};

/// Role of a replica.
enum class agreement_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader
};

/// Name of a role for logs.
std::string_view to_text(agreement_role role);

/// Time since a member last answered its leader.
struct member_silence
{
    replica_id id;
    duration silence{};

    auto operator<=>(const member_silence&) const = default;
};

/// Advances the clock; expected at least once per heartbeat interval.
struct clock_tick
{
};

/// A message from another replica.
struct message_received
{
    protocol::agreement_envelope envelope;
};

/// A command to replicate. The token names it in proposal_done.
struct proposal
{
    std::uint64_t token{0};
    std::string data;
};

/// Admits a learner, which is promoted once it has caught up. With replaces
/// set, that identity is removed and retired in the same step.
struct add_replica
{
    replica_id id;
    transport::endpoint address;
    replica_id replaces;
};

/// Removes and retires a member.
struct remove_replica
{
    replica_id id;
};

using membership_change = std::variant<add_replica, remove_replica>;

/// A membership change to replicate; answered like a proposal.
struct membership_proposal
{
    std::uint64_t token{0};
    membership_change change;
};

/// Requests an index at which a read observes every earlier acknowledged
/// command.
struct read_request
{
    std::uint64_t token{0};
};

/// The encoded state machine after the entry at an index, in answer to
/// snapshot_requested.
struct snapshot_taken
{
    std::uint64_t index{0};
    std::string data;
};

/// Asks a leader to transfer its leadership before a planned stop.
struct leadership_transfer_requested
{
};

/// An input with the time at which it is processed.
struct agreement_event
{
    time_point now;
    std::variant<clock_tick, message_received, proposal, membership_proposal,
                 read_request, snapshot_taken, leadership_transfer_requested>
        input;
};

/// Make term and vote durable.
struct persist_hard_state
{
    state::hard_state value;
};

/// Make a snapshot durable. If installed is set it came from a leader and
/// replaces the log, otherwise the log up to it can be compacted.
struct persist_snapshot
{
    std::shared_ptr<const protocol::agreement_snapshot> snapshot;
    bool installed{false};
};

/// Make entries durable; they replace existing ones from the first index on.
struct persist_entries
{
    std::vector<protocol::log_entry> entries;
};

/// Send a message to an address. May be lost.
struct send_message
{
    transport::endpoint address;
    protocol::agreement_envelope envelope;
};

/// Replace the state machine's state.
struct restore_snapshot
{
    std::shared_ptr<const protocol::agreement_snapshot> snapshot;
};

/// Apply a committed entry; entries come in order without gaps.
struct apply_entry
{
    protocol::log_entry entry;
};

/// The proposal's entry is committed and was given to apply_entry; the value is
/// its index. Errors: not_leader, change_in_progress, conflict,
/// identity_retired, invalid_argument and resource_exhausted mean that it was
/// not run, timeout that its outcome is unknown.
struct proposal_done
{
    std::uint64_t token{0};
    result<std::uint64_t> index;
};

/// The state machine has applied everything that the read must observe. Error:
/// not_leader.
struct read_done
{
    std::uint64_t token{0};
    result<std::uint64_t> index;
};

/// Take a snapshot of the state machine as it is now.
struct snapshot_requested
{
    std::uint64_t index{0};
};

/// Role, term or known leader has changed.
struct role_changed
{
    agreement_role role{agreement_role::follower};
    std::uint64_t term{0};
    replica_id leader; ///< 0 if not known
    std::string reason;
};

/// An invariant is violated; the program must stop without executing further
/// effects.
struct invariant_broken
{
    std::string what;
};

/// Effects must be executed in order, each completed before the next begins,
/// and all of them before the next event. A storage failure must stop the
/// program: no effect after it may be executed.
using agreement_effect =
    std::variant<persist_hard_state, persist_snapshot, persist_entries,
                 send_message, restore_snapshot, apply_entry, proposal_done,
                 read_done, snapshot_requested, role_changed, invariant_broken>;

using agreement_effects = std::vector<agreement_effect>;

} // namespace boragestand::agreement
