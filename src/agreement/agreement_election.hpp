#pragma once

#include "agreement/agreement_core.hpp"

#include <set>

namespace boragestand::agreement
{

/// Runs elections: the election timeout, the votes that this replica requests
/// and the votes that it grants.
class agreement_election
{
public:
    /// State of a voting round.
    enum class outcome
    {
        pending,
        won,
        lost
    };

    agreement_election(agreement_core& core, std::uint64_t seed);

    /// Starts a new random timeout.
    void restart_timeout(time_point now);

    /// Switches from the first election timeout to the regular one.
    void set_leader_known() { leader_known_ = true; }

    /// Whether the timeout has passed.
    bool is_due(time_point now) const { return now >= deadline_; }

    /// Asks all voters whether they would vote, without a change of term.
    outcome start_pre_vote();

    /// Raises the term, votes for itself and asks all voters for their votes.
    outcome start_vote(bool transfer);

    /// Counts a reply to the current round.
    outcome count_reply(replica_id from, const protocol::vote_reply& reply);

    /// Replies to a vote request whose term is not below the current one; the
    /// caller has already adopted the term of a real vote. True if this replica
    /// granted its vote, false also for a granted pre-vote.
    bool handle_request(const protocol::agreement_envelope& envelope,
                        const protocol::vote_request& request);

private:
    outcome request_votes(bool pre_vote, bool transfer);
    outcome current_outcome() const;

    agreement_core& core_;
    random_generator random_;
    time_point deadline_{};
    bool leader_known_{false};
    bool pre_vote_{false};
    std::set<replica_id> granted_;
    std::set<replica_id> refused_;
};

} // namespace boragestand::agreement
