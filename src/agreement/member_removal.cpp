#include "agreement/member_removal.hpp"

#include <algorithm>

namespace boragestand::agreement
{

namespace
{

std::set<replica_id> identities_of(const protocol::replica_group& group)
{
    std::set<replica_id> identities;
    for (const auto& member : group.members)
    {
        identities.insert(member.id);
    }
    return identities;
}

const protocol::replica* learner_of(const protocol::replica_group& group)
{
    const auto found = std::find_if(group.members.begin(), group.members.end(),
                                    [](const protocol::replica& member)
                                    { return !member.voter; });
    return found == group.members.end() ? nullptr : &*found;
}

} // namespace

void member_joins::observe(const protocol::replica_group& group,
                           replica_id self, time_point now)
{
    std::erase_if(joins_,
                  [&](time_point joined) { return now - joined > lifetime_; });
    if (group.members.empty())
    {
        was_outside_ = true;
        return;
    }
    auto present = identities_of(group);
    if (known_.empty())
    {
        // How long ago the others joined is not known. Founders have no
        // admission.
        known_ = present;
        const auto* own = group.find(self);
        if (was_outside_ && own != nullptr && own->admission_index > 0)
        {
            joins_.push_back(now);
        }
        return;
    }
    for (const auto id : present)
    {
        if (!known_.contains(id))
        {
            joins_.push_back(now);
        }
    }
    for (const auto id : known_)
    {
        if (!present.contains(id) && !joins_.empty())
        {
            joins_.erase(joins_.begin());
        }
    }
    known_ = std::move(present);
}

bool member_joins::has_joined_since(time_point since) const
{
    return !joins_.empty() && joins_.back() >= since;
}

std::optional<member_silence>
member_to_remove(const protocol::replica_group& group,
                 const std::vector<member_silence>& silences,
                 const member_joins& joins, const removal_limits& limits,
                 time_point now)
{
    const auto* learner = learner_of(group);
    std::optional<member_silence> longest;
    for (const auto& each : silences)
    {
        const bool counts = learner == nullptr || each.id == learner->id;
        if (counts && (!longest || each.silence > longest->silence))
        {
            longest = each;
        }
    }
    if (!longest)
    {
        return std::nullopt;
    }
    const bool replaced =
        joins.has_joined_since(now - longest->silence - limits.succession);
    const auto limit =
        learner != nullptr || replaced ? limits.replaced : limits.lost;
    const bool enough_remain =
        learner != nullptr || group.voter_count() > limits.smallest_group;
    return longest->silence >= limit && enough_remain ? longest : std::nullopt;
}

} // namespace boragestand::agreement
