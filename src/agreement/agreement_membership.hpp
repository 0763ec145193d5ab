#pragma once

#include "agreement/agreement_events.hpp"

namespace boragestand::agreement
{

/// The group after a change. leader is the replica that proposes it, index the
/// index that the change's entry will have. Errors: identity_retired for an
/// identity that has left, change_in_progress while a learner that the change
/// does not concern is catching up, conflict for a member that exists already,
/// not_found, resource_exhausted, and invalid_argument for a change that would
/// remove the leader or the last voter.
result<protocol::replica_group>
changed_group(const protocol::replica_group& group,
              const membership_change& change, replica_id leader,
              std::uint64_t index, const agreement_faults& faults);

/// The first learner that holds all that was committed when it was admitted,
/// according to a function that gives the last index known to be there; 0 if
/// there is none.
template <typename MatchOf>
replica_id learner_to_promote(const protocol::replica_group& group,
                              const agreement_faults& faults, MatchOf match_of)
{
    for (const auto& member : group.members)
    {
        if (!member.voter && (faults.promote_early ||
                              match_of(member.id) >= member.admission_index))
        {
            return member.id;
        }
    }
    return {};
}

/// The group in which this learner votes.
protocol::replica_group promoted_group(protocol::replica_group group,
                                       replica_id learner);

} // namespace boragestand::agreement
