#pragma once

#include "coordination/agreement_core.hpp"

#include <set>

namespace boragestand::coordination
{

/// Elections: the timeout that starts one, the votes that this replica asks for
/// and those that it gives.
class agreement_election
{
public:
    /// How a round of votes stands.
    enum class outcome
    {
        open,
        won,
        lost
    };

    agreement_election(agreement_core& core, std::uint64_t seed);

    /// Starts a new random timeout.
    void restart_timeout(time_point now);

    /// Uses the usual election timeout from now on.
    void note_leader() { leader_known_ = true; }

    /// Whether the timeout has passed.
    bool is_due(time_point now) const { return now >= deadline_; }

    /// Asks all voters whether they would vote, without a change of term.
    outcome start_pre_vote();

    /// Raises the term, votes for itself and asks all voters for their votes.
    outcome start_vote(bool transfer);

    /// Counts an answer to the current round.
    outcome count(replica_id from, const protocol::vote_reply& reply);

    /// Answers a request of a term that is not below the current one; for a
    /// vote the term has been adopted before. True if a vote was given.
    bool answer(const protocol::agreement_envelope& envelope,
                const protocol::vote_request& request);

private:
    outcome ask(bool pre_vote, bool transfer);
    outcome tally() const;

    agreement_core& core_;
    random_generator random_;
    time_point deadline_{};
    bool leader_known_{false};
    bool pre_vote_{false};
    std::set<replica_id> granted_;
    std::set<replica_id> refused_;
};

} // namespace boragestand::coordination
