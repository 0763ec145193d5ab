#pragma once

#include "agreement/agreement_events.hpp"

#include <set>

namespace boragestand::agreement
{

/// Members that have joined the group, as one of its replicas sees it while it
/// runs. Tells a group whose lost members have been replaced from one that is
/// short of members.
class member_joins
{
public:
    /// Joins count for a lifetime, the longest silence before a removal and
    /// the succession of removal_limits together.
    explicit member_joins(duration lifetime) : lifetime_(lifetime) {}

    /// Records what has changed since the last call. A member that leaves
    /// cancels the oldest join, so that no join replaces two members.
    void observe(const protocol::replica_group& group, replica_id self,
                 time_point now);

    /// Whether a join at or after a time has not been cancelled.
    bool has_joined_since(time_point since) const;

private:
    duration lifetime_;
    std::set<replica_id> known_;
    std::vector<time_point> joins_; ///< oldest first
    bool was_outside_{false};       ///< this replica has run without a group
};

/// When a silent member is removed.
struct removal_limits
{
    duration lost;     ///< silence of a member that is not replaced
    duration replaced; ///< silence of a member that is replaced, or a learner
    /// A successor joins up to this long before its predecessor stops.
    duration succession;
    std::size_t smallest_group; ///< voters that must remain

    auto operator<=>(const removal_limits&) const = default;
};

/// The smallest group that tolerates the loss of this many members.
constexpr std::size_t smallest_group_for(std::size_t tolerated_losses)
{
    return 2 * tolerated_losses + 1;
}

/// The member that has been silent for longest, if it should be removed: a
/// learner, which blocks all other changes, or a voter, if enough others
/// remain. The limit is shorter for a voter in whose place another member has
/// joined. Other members may be silent as well: each removal lowers the
/// majority that the rest needs. None while a learner that answers is catching
/// up.
std::optional<member_silence>
member_to_remove(const protocol::replica_group& group,
                 const std::vector<member_silence>& silences,
                 const member_joins& joins, const removal_limits& limits,
                 time_point now);

} // namespace boragestand::agreement
