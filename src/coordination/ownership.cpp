#include "coordination/ownership.hpp"

#include <algorithm>

namespace boragestand::coordination
{

namespace
{

/// Maximum number of former views; a rolling restart of 6 instances creates 12.
constexpr std::size_t max_former_views = 16;

} // namespace

ownership::candidates
ownership::make_candidates(const std::vector<instance_id>& members)
{
    candidates made;
    for (const instance_id id : members)
    {
        made.push_back({id, mix_hashes(id.value, 0x6f776e6572ULL)});
    }
    return made;
}

void ownership::add_returned(const std::vector<instance_id>& members,
                             time_point now)
{
    const candidates added = make_candidates(members);
    returned_.insert(returned_.end(), added.begin(), added.end());
    returned_last_ = now;
}

void ownership::set_view(const std::vector<instance_id>& members,
                         time_point now)
{
    if (!current_.empty())
    {
        former_.push_front({std::move(current_), current_since_, now, now});
    }
    if (former_.size() > max_former_views)
    {
        former_.pop_back();
    }
    current_ = make_candidates(members);
    current_since_ = now;
}

void ownership::expire(time_point now, duration retention)
{
    if (now - returned_last_ > retention)
    {
        returned_.clear();
    }
    while (!former_.empty() && now - former_.back().last_used > retention)
    {
        former_.pop_back();
    }
}

void ownership::extend_former_views(duration flow_age, time_point now)
{
    if (!former_.empty() && flow_age > now - current_since_)
    {
        former_.front().last_used = now;
    }
}

ownership::ranking ownership::rank(std::uint64_t flow_hash) const
{
    ranking best{};
    std::array<std::uint64_t, 3> scores{};
    for (const candidate& member : current_)
    {
        instance_id id = member.id;
        std::uint64_t score = mix_hashes(flow_hash, member.mixed_id);
        for (std::size_t place = 0; place < best.size(); ++place)
        {
            if (best[place].value == 0 || score > scores[place])
            {
                std::swap(best[place], id);
                std::swap(scores[place], score);
            }
            if (id.value == 0)
            {
                break;
            }
        }
    }
    return best;
}

instance_id ownership::highest_ranked(const candidates& members,
                                      std::uint64_t flow_hash,
                                      instance_id excluded)
{
    instance_id best;
    std::uint64_t best_score = 0;
    for (const candidate& member : members)
    {
        const std::uint64_t score = mix_hashes(flow_hash, member.mixed_id);
        if (member.id != excluded && (best.value == 0 || score > best_score))
        {
            best = member.id;
            best_score = score;
        }
    }
    return best;
}

instance_id ownership::owner_of(std::uint64_t flow_hash) const
{
    return highest_ranked(current_, flow_hash, instance_id{});
}

instance_id ownership::owner_without_self(std::uint64_t flow_hash) const
{
    return highest_ranked(current_, flow_hash, self_);
}

std::optional<ownership::former_owner>
ownership::find_former_owner(std::uint64_t flow_hash, std::size_t index) const
{
    if (!returned_.empty() && index == 0)
    {
        return former_owner{highest_ranked(returned_, flow_hash, instance_id{}),
                            duration{0}};
    }
    index -= returned_.empty() ? 0 : 1;
    if (index >= former_.size())
    {
        return std::nullopt;
    }
    const former_view& view = former_[index];
    return former_owner{highest_ranked(view.members, flow_hash, instance_id{}),
                        view.end - view.begin};
}

} // namespace boragestand::coordination
