#include "fleet/fault_tolerance.hpp"

#include <algorithm>

namespace boragestand::fleet
{

namespace
{

// Instances in the data centres that may be lost at once; 0 if no majority
// survives their loss, so that nothing can be kept for it.
std::size_t instances_in_lost_data_centres(const fault_tolerance& required,
                                           std::size_t voters)
{
    const auto all = required.all_data_centres;
    if (all == 0)
    {
        return 0;
    }
    const auto in_each = (voters + all - 1) / all;
    const auto lost = required.data_centres.value_or(0) * in_each;
    return 2 * lost < voters ? lost : 0;
}

} // namespace

std::size_t tolerated_losses(const fault_tolerance& required,
                             std::size_t voters)
{
    const std::size_t bearable = voters == 0 ? 0 : (voters - 1) / 2;
    if (!required.instances && !required.data_centres)
    {
        return bearable;
    }
    return std::min(bearable,
                    std::max(required.instances.value_or(0),
                             instances_in_lost_data_centres(required, voters)));
}

} // namespace boragestand::fleet
