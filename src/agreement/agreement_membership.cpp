#include "agreement/agreement_membership.hpp"

#include <algorithm>

namespace boragestand::agreement
{

namespace
{

std::string number(replica_id id)
{
    return std::to_string(id.value);
}

// A change must wait while a learner that it does not concern is catching up.
bool has_other_learner(const protocol::replica_group& group, replica_id subject)
{
    return std::any_of(group.members.begin(), group.members.end(),
                       [subject](const protocol::replica& member)
                       { return !member.voter && member.id != subject; });
}

result<protocol::replica_group> without(protocol::replica_group group,
                                        replica_id id, replica_id leader)
{
    const auto* member = group.find(id);
    if (member == nullptr)
    {
        return failure(error_kind::not_found,
                       "replica " + number(id) + " is not a member");
    }
    if (id == leader)
    {
        return failure(error_kind::invalid_argument,
                       "replica " + number(id) +
                           " is the leader; hand leadership over first");
    }
    if (member->voter && group.voter_count() == 1)
    {
        return failure(error_kind::invalid_argument,
                       "replica " + number(id) + " is the last voter");
    }
    if (group.retired.size() >= protocol::max_retired_replicas)
    {
        return failure(error_kind::resource_exhausted,
                       "too many retired replicas");
    }
    std::erase_if(group.members, [id](const protocol::replica& candidate)
                  { return candidate.id == id; });
    group.retired.push_back(id);
    return group;
}

result<protocol::replica_group> with(protocol::replica_group group,
                                     const add_replica& change,
                                     std::uint64_t index)
{
    if (change.id.value == 0 || group.is_retired(change.id))
    {
        return failure(error_kind::identity_retired,
                       "replica " + number(change.id) + " cannot return");
    }
    if (group.find(change.id) != nullptr)
    {
        return failure(error_kind::conflict,
                       "replica " + number(change.id) + " is a member already");
    }
    if (group.members.size() >= protocol::max_replicas)
    {
        return failure(error_kind::resource_exhausted,
                       "the group has " + std::to_string(group.members.size()) +
                           " members already");
    }
    group.members.push_back({change.id, change.address, false, index});
    std::sort(group.members.begin(), group.members.end());
    return group;
}

} // namespace

result<protocol::replica_group>
changed_group(const protocol::replica_group& group,
              const membership_change& change, replica_id leader,
              std::uint64_t index, const agreement_faults& faults)
{
    const auto* addition = std::get_if<add_replica>(&change);
    const replica_id removed = addition != nullptr
                                   ? addition->replaces
                                   : std::get<remove_replica>(change).id;
    if (!faults.concurrent_changes && has_other_learner(group, removed))
    {
        return failure(error_kind::change_in_progress,
                       "a learner is still catching up");
    }
    if (addition == nullptr)
    {
        return without(group, removed, leader);
    }
    const auto remaining = removed.value == 0
                               ? result<protocol::replica_group>(group)
                               : without(group, removed, leader);
    if (!remaining)
    {
        return remaining;
    }
    return with(*remaining, *addition, index);
}

protocol::replica_group promoted_group(protocol::replica_group group,
                                       replica_id learner)
{
    for (auto& member : group.members)
    {
        if (member.id == learner)
        {
            member.voter = true;
        }
    }
    return group;
}

} // namespace boragestand::agreement
