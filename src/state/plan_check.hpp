#pragma once

#include "state/routing_plan.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::state
{

/// How serious a finding is.
enum class finding_severity : std::uint8_t
{
    error = 0,   ///< the plan is refused or has no effect
    warning = 1, ///< the plan is accepted, but part of it has no useful effect
    note = 2     ///< information for the operator
};

/// Name of a severity in output.
std::string_view to_text(finding_severity severity);

/// A result of checking a plan or its document.
struct plan_finding
{
    finding_severity severity{finding_severity::error};
    std::string place; ///< such as route "r-1"
    std::string text;  ///< what is found and what is expected

    auto operator<=>(const plan_finding&) const = default;
};

/// Formats a finding as "PLACE TEXT".
std::string to_string(const plan_finding& finding);

/// Place of a route or service in findings, such as route "r-1".
std::string place_of(const service_route& route);
std::string place_of(const planned_service& service);

/// Figures of the fleet that a plan is checked against.
struct plan_check_limits
{
    double link_mbps{0}; ///< link of an entry instance; 0: not known

    auto operator<=>(const plan_check_limits&) const = default;
};

/// All faults for which check_plan() refuses a plan; it names the first.
std::vector<plan_finding> find_plan_errors(const routing_plan& plan);

/// Parts of a plan that are accepted but cannot match, have no effect or
/// contradict each other.
std::vector<plan_finding> find_plan_oddities(const routing_plan& plan,
                                             const plan_check_limits& limits);

} // namespace boragestand::state
