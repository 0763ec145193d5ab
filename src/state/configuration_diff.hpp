#pragma once

#include "state/configuration.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace boragestand::state
{

/// How an object differs between two configurations.
enum class change_kind : std::uint8_t
{
    added = 0,
    changed = 1,
    removed = 2
};

/// One object that differs.
struct configuration_change
{
    change_kind kind{change_kind::added};
    std::string object;  ///< such as "service member-desk"
    std::string details; ///< such as "hold_limit_ms 5000 -> 3000"

    auto operator<=>(const configuration_change&) const = default;
};

/// The differences in readable form: services, then rules, overrides of
/// upstreams and agreements.
std::vector<configuration_change> diff(const configuration& from,
                                       const configuration& to);

/// "+", "~" or "-" before the object, and its details.
std::string to_string(const configuration_change& change);

} // namespace boragestand::state
