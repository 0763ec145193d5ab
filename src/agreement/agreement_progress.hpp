#pragma once

#include "agreement/agreement_events.hpp"
#include "agreement/agreement_snapshots.hpp"
#include "protocol/protocol.hpp"

#include <map>
#include <optional>

namespace boragestand::agreement
{

/// Replication state of one other replica as known to the leader.
struct replica_progress
{
    std::uint64_t match{0}; ///< last index known to be durable there
    std::uint64_t next{1};  ///< first index to send
    std::uint64_t round{0}; ///< newest heartbeat round answered
    time_point last_contact{};
    std::optional<snapshot_sender> snapshot_transfer;
};

/// Replication progress of all other members and of a majority of voters.
class agreement_progress
{
public:
    /// Follows the members of a group; new ones start at the given index.
    void update_members(const protocol::replica_group& group, replica_id self,
                        std::uint64_t next, time_point now);

    /// Progress of a member, null for others.
    replica_progress* find(replica_id id);

    /// Last index known to be durable at a member, 0 if it is none.
    std::uint64_t match_of(replica_id id) const;

    /// Highest index that a majority of voters holds, the leader's own being
    /// own_last.
    std::uint64_t majority_match(const protocol::replica_group& group,
                                 replica_id self, std::uint64_t own_last) const;

    /// Newest round that a majority of voters has answered.
    std::uint64_t majority_round(const protocol::replica_group& group,
                                 replica_id self,
                                 std::uint64_t own_round) const;

    /// Latest time at or after which a majority of voters has answered.
    time_point majority_contact(const protocol::replica_group& group,
                                replica_id self, time_point now) const;

    /// Time since each member last answered.
    std::vector<member_silence> silences(time_point now) const;

    /// The other voter with the highest match index; 0 if there is none.
    replica_id most_advanced_voter(const protocol::replica_group& group) const;

private:
    std::map<replica_id, replica_progress> members_;
};

} // namespace boragestand::agreement
