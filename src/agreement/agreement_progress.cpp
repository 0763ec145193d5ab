#include "agreement/agreement_progress.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace boragestand::agreement
{

namespace
{

// The highest value that more than half of the voters have reached.
template <typename Value, typename ValueOf>
Value majority_value(const protocol::replica_group& group, ValueOf value_of)
{
    std::vector<Value> values;
    for (const auto& member : group.members)
    {
        if (member.voter)
        {
            values.push_back(value_of(member.id));
        }
    }
    if (values.empty())
    {
        return Value{};
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

} // namespace

void agreement_progress::update_members(const protocol::replica_group& group,
                                        replica_id self, std::uint64_t next,
                                        time_point now)
{
    std::erase_if(members_, [&group](const auto& member)
                  { return group.find(member.first) == nullptr; });
    for (const auto& member : group.members)
    {
        if (member.id != self)
        {
            members_.try_emplace(
                member.id, replica_progress{0, next, 0, now, std::nullopt});
        }
    }
}

replica_progress* agreement_progress::find(replica_id id)
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

std::uint64_t agreement_progress::match_of(replica_id id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? 0 : found->second.match;
}

std::uint64_t
agreement_progress::majority_match(const protocol::replica_group& group,
                                   replica_id self,
                                   std::uint64_t own_last) const
{
    return majority_value<std::uint64_t>(
        group,
        [&](replica_id id) { return id == self ? own_last : match_of(id); });
}

std::uint64_t
agreement_progress::majority_round(const protocol::replica_group& group,
                                   replica_id self,
                                   std::uint64_t own_round) const
{
    return majority_value<std::uint64_t>(
        group, [&](replica_id id)
        { return id == self ? own_round : members_.at(id).round; });
}

time_point
agreement_progress::majority_contact(const protocol::replica_group& group,
                                     replica_id self, time_point now) const
{
    return majority_value<time_point>(
        group, [&](replica_id id)
        { return id == self ? now : members_.at(id).last_contact; });
}

replica_id agreement_progress::most_advanced_voter(
    const protocol::replica_group& group) const
{
    replica_id best;
    std::uint64_t best_match = 0;
    for (const auto& [id, progress] : members_)
    {
        if (group.is_voter(id) &&
            (best.value == 0 || progress.match > best_match))
        {
            best = id;
            best_match = progress.match;
        }
    }
    return best;
}

std::vector<member_silence> agreement_progress::silences(time_point now) const
{
    std::vector<member_silence> all;
    for (const auto& [id, member] : members_)
    {
        all.push_back({id, now - member.last_contact});
    }
    return all;
}

} // namespace boragestand::agreement
