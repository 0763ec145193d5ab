#include "state/evacuation.hpp"

#include <algorithm>

namespace boragestand::state
{

bool evacuation_register::apply(const evacuation_order& order,
                                std::uint64_t index)
{
    const auto found = entries_.find(order.data_centre);
    const bool active = found != entries_.end() && found->second.active;
    if (active == order.active)
    {
        return false;
    }
    entries_[order.data_centre] = {order.active, index};
    return true;
}

std::uint64_t evacuation_register::newest_index() const
{
    std::uint64_t newest = 0;
    for (const auto& [data_centre, entry] : entries_)
    {
        newest = std::max(newest, entry.index);
    }
    return newest;
}

} // namespace boragestand::state
