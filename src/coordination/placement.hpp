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
    std::uint32_t room{0}; ///< flows that may run there; keeps its slots busy
    std::uint32_t connections{0};
    bool reserved{true}; ///< only this owner starts long work outside the zone
    estimated_load load;

    auto operator<=>(const placement_candidate&) const = default;
};

/// What placement has to know about a new flow.
struct placement_request
{
    std::uint64_t flow_hash{0};
    bool is_long{false};
    bool may_deviate{true};
    /// Whether the flows of the service occupy slots while they are open.
    bool slots_bind{true};
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
/// Where slots bind, the flow goes where it is expected to start at once, and
/// the choice is empty if no upstream has a free slot. Short work avoids
/// upstreams whose slots are all taken by long work; long work leaves a slot
/// to short work where another upstream can take it, and over the service
/// leaves twice as many slots as short work uses. Elsewhere the flow goes to
/// its default unless that has more than its part of the open flows and a
/// second choice has less. Without leave to deviate it goes to its default.
std::optional<placement_choice>
choose_upstream(std::span<const placement_candidate> candidates,
                upstream_id default_choice, const placement_request& request);

} // namespace boragestand::coordination
