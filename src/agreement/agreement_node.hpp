#pragma once

#include "agreement/agreement_core.hpp"
#include "agreement/agreement_election.hpp"
#include "agreement/agreement_leader.hpp"
#include "agreement/agreement_receiver.hpp"

namespace boragestand::agreement
{

/// One replica of the replicated log, in the manner of Raft with pre-vote,
/// check-quorum, read-index reads, learners and single membership changes.
/// Performs no I/O: time, messages and state machine snapshots come in as
/// events, and all actions are returned as an ordered list of effects.
class agreement_node
{
public:
    agreement_node(agreement_start start, const agreement_settings& settings);

    agreement_node(const agreement_node&) = delete;
    agreement_node& operator=(const agreement_node&) = delete;

    /// Processes one event.
    agreement_effects step(const agreement_event& event);

    replica_id self() const { return core_.self(); }
    agreement_role role() const { return role_; }
    std::uint64_t term() const { return core_.term(); }

    /// The leader of the current term; 0 if not known.
    replica_id leader() const { return leader_id_; }

    /// Index of the last committed entry; it has been given to apply_entry or
    /// restore_snapshot.
    std::uint64_t commit_index() const { return core_.commit_index(); }

    /// Position of the last entry.
    protocol::log_position last() const { return core_.log().last(); }

    /// Memory that the entries after the newest snapshot take.
    std::uint64_t log_bytes() const
    {
        return core_.log().bytes_between(snapshot_index() + 1, last().index);
    }

    /// Index that the newest snapshot covers.
    std::uint64_t snapshot_index() const
    {
        return core_.log().snapshot()->last.index;
    }

    /// The newest group in the log, committed or not.
    const protocol::replica_group& group() const { return core_.log().group(); }

    /// Index of the entry that set group(), 0 if it is the first group or comes
    /// from the snapshot.
    std::uint64_t last_group_index() const { return core_.log().group_index(); }

    /// Whether a leader has been in contact within the election timeout; a
    /// leader steps down after that long without replies from a majority.
    bool is_in_contact(time_point now) const;

    /// Whether all that was acknowledged until shortly before now is applied
    /// here: an entry of the present term is committed, and a follower has
    /// reached the leader's commit index within the election timeout. A
    /// follower whose disk is full hears its leader and falls behind.
    bool is_caught_up(time_point now) const;

    /// On the leader, the time since each other member last answered; empty on
    /// other replicas.
    std::vector<member_silence> silences(time_point now) const;

    /// The group after the last committed entry.
    const protocol::replica_group& committed_group() const
    {
        return core_.log().group_at(core_.commit_index());
    }

private:
    void handle(const clock_tick& tick, time_point now);
    void handle(const message_received& input, time_point now);
    void handle(const proposal& request, time_point now);
    void handle(const membership_proposal& request, time_point now);
    void handle(const read_request& request, time_point now);
    void handle(const snapshot_taken& taken, time_point now);
    void handle(const leadership_transfer_requested& request, time_point now);

    void handle_message(const protocol::agreement_envelope& envelope,
                        const protocol::vote_request& request, time_point now);
    void handle_message(const protocol::agreement_envelope& envelope,
                        const protocol::vote_reply& reply, time_point now);
    void handle_message(const protocol::agreement_envelope& envelope,
                        const protocol::append_request& request,
                        time_point now);
    void handle_message(const protocol::agreement_envelope& envelope,
                        const protocol::append_reply& reply, time_point now);
    void handle_message(const protocol::agreement_envelope& envelope,
                        const protocol::snapshot_chunk& chunk, time_point now);
    void handle_message(const protocol::agreement_envelope& envelope,
                        const protocol::snapshot_reply& reply, time_point now);
    void handle_message(const protocol::agreement_envelope& envelope,
                        const protocol::leadership_transfer& transfer,
                        time_point now);

    bool adopt_term(const protocol::agreement_envelope& envelope,
                    time_point now);
    void reject_earlier_term(const protocol::agreement_envelope& envelope);
    bool has_leader_contact(time_point now) const;
    void step_down_if_needed(time_point now);
    void start_election(time_point now);
    void start_vote(bool transfer, time_point now);
    void become_follower(replica_id leader, const char* reason);
    void record_leader_contact(replica_id leader, time_point now);
    void become_leader(time_point now);
    void change_role(agreement_role role, replica_id leader,
                     const char* reason);

    agreement_core core_;
    agreement_election election_;
    agreement_receiver receiver_;
    std::optional<agreement_leader> leader_;
    agreement_role role_{agreement_role::follower};
    replica_id leader_id_;
    std::optional<time_point> last_leader_contact_;
    /// When this follower last held all that its leader had committed.
    std::optional<time_point> last_caught_up_;
    bool started_{false};
};

} // namespace boragestand::agreement
