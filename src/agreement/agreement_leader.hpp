#pragma once

#include "agreement/agreement_core.hpp"
#include "agreement/agreement_progress.hpp"

#include <deque>

namespace boragestand::agreement
{

/// Leader role of a replica: replication, commits, reads, membership changes
/// and leadership transfer. Exists for one term.
class agreement_leader
{
public:
    /// Starts the term by appending an empty entry.
    agreement_leader(agreement_core& core, time_point now);

    /// Sends heartbeats when they are due.
    void tick(time_point now);

    /// Reason why this leader must step down now; null if it may continue.
    const char* reason_to_step_down(time_point now) const;

    /// Time since each other member last answered.
    std::vector<member_silence> silences(time_point now) const
    {
        return progress_.silences(now);
    }

    /// Handles a reply to entries.
    void handle_reply(replica_id from, const protocol::append_reply& reply,
                      time_point now);

    /// Handles a reply to a snapshot chunk.
    void handle_reply(replica_id from, const protocol::snapshot_reply& reply,
                      time_point now);

    /// Appends a command.
    void propose(const proposal& request, time_point now);

    /// Appends a membership change.
    void propose(const membership_proposal& request, time_point now);

    /// Queues a read until a majority confirms this leader.
    void add_read(const read_request& request);

    /// Stops accepting proposals and transfers leadership to the most advanced
    /// voter.
    void transfer_leadership(time_point now);

    /// Answers all pending proposals and reads with an error when leadership
    /// ends.
    void fail_pending_requests();

private:
    struct pending_proposal
    {
        std::uint64_t token;
        std::uint64_t index;
    };
    struct pending_read
    {
        std::uint64_t token;
        std::uint64_t index;
        std::uint64_t round;
    };

    void replicate_to_all();
    void replicate(replica_id id, replica_progress& progress);
    void send_entries(replica_id id, replica_progress& progress);
    void send_chunk(replica_id id, replica_progress& progress);
    void append_first_entry(time_point now);
    void append(protocol::entry_kind kind, std::string data,
                std::uint64_t token, time_point now);
    void update_commit(time_point now);
    void answer_proposals();
    void answer_reads();
    void promote_learner(time_point now);
    void continue_transfer();
    bool has_uncommitted_change() const;
    result<protocol::replica_group>
    group_after(const membership_change& change) const;

    agreement_core& core_;
    agreement_progress progress_;
    std::uint64_t first_index_of_term_{0}; ///< of this term
    std::uint64_t heartbeat_round_{0};
    time_point next_heartbeat_{};
    std::deque<pending_proposal> pending_proposals_;
    std::deque<pending_read> pending_reads_;
    replica_id transfer_target_;
    bool transfer_sent_{false};
    std::optional<time_point> transfer_deadline_;
};

} // namespace boragestand::agreement
