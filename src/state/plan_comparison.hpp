#pragma once

#include "state/plan_check.hpp"

namespace boragestand::state
{

/// What changes when a plan replaces the one in force: the version, then routes
/// by address, then services. Each finding says what the change means for open
/// flows.
std::vector<plan_finding> compare_plans(const routing_plan& in_force,
                                        const routing_plan& proposed);

} // namespace boragestand::state
