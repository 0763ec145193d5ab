#pragma once

#include <compare>
#include <cstddef>
#include <optional>

namespace boragestand::fleet
{

/// What a deployment must be able to lose at the same time.
struct fault_tolerance
{
    std::optional<std::size_t> instances;    ///< control instances
    std::optional<std::size_t> data_centres; ///< with all instances in them
    std::size_t all_data_centres{0};         ///< 0 if not known

    auto operator<=>(const fault_tolerance&) const = default;
};

/// How many control instances a group of this many voters must be able to lose
/// at once. At most what a majority allows, which is also the result if the
/// deployment names no tolerance. Control instances count as spread evenly over
/// the data centres.
std::size_t tolerated_losses(const fault_tolerance& required,
                             std::size_t voters);

} // namespace boragestand::fleet
