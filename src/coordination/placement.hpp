#pragma once

#include "coordination/load_view.hpp"

#include <optional>
#include <span>

namespace boragestand::coordination
{

/// An upstream that a new flow may go to.
struct placement_candidate
{
    upstream_id upstream;
    std::uint16_t weight{0};
    std::uint32_t slots{0};
    std::uint32_t flow_limit{0}; ///< limit of running flows; keeps slots busy
    std::uint32_t connections{0};
    bool reserved{true}; ///< this owner may start long work outside the zone
    estimated_load load;

    auto operator<=>(const placement_candidate&) const = default;
};

/// Properties of a new flow that determine its placement.
struct placement_request
{
    std::uint64_t flow_hash{0};
    bool is_long{false};
    bool may_deviate{true};
    /// Whether slots limit new flows, see running_flows::slots_limit_flows().
    bool slots_limit_flows{true};
    unsigned imbalance_percent{105};

    auto operator<=>(const placement_request&) const = default;
};

/// A chosen upstream.
struct placement_choice
{
    upstream_id upstream;
    placement_reason reason{placement_reason::default_choice};

    auto operator<=>(const placement_choice&) const = default;
};

/// Chooses an upstream for a new flow.
///
/// If slots limit new flows, the flow goes to an upstream with a free slot, and
/// the result is empty if there is none. Short work avoids upstreams whose
/// slots are all taken by long work. Long work leaves one slot of an upstream
/// free for short work if another upstream can take it, and twice as many slots
/// of the service as short work uses. Otherwise the flow goes to its default,
/// unless the default has more than its share of the open flows and a second
/// choice has fewer. If deviations are not allowed, it always goes to its
/// default.
std::optional<placement_choice>
choose_upstream(std::span<const placement_candidate> candidates,
                upstream_id default_choice, const placement_request& request);

} // namespace boragestand::coordination
