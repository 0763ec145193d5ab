#pragma once

#include "state/evacuation.hpp"
#include "state/routing_plan.hpp"

#include <variant>

namespace boragestand::state
{

/// A command in the replicated log of a fleet.
using fleet_command = std::variant<submitted_plan, evacuation_order>;

/// State that the commands of a fleet lead to, as in a snapshot.
struct fleet_state
{
    submitted_plan plan;
    evacuation_register evacuations;

    auto operator<=>(const fleet_state&) const = default;
};

/// Encodes a command. A plan is encoded as by encode_plan().
std::string encode_command(const fleet_command& command);

/// Encodes the state; without evacuations like the plan alone.
std::string encode_fleet_state(const submitted_plan& plan,
                               const evacuation_register& evacuations);

/// Decode commands and states of this version and of those that knew plans
/// only; error_kind::malformed_message otherwise.
result<fleet_command> decode_fleet_command(std::string_view bytes);
result<fleet_state> decode_fleet_state(std::string_view bytes);

} // namespace boragestand::state
