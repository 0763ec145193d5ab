#pragma once

/// Public header of the fleet library: instances that discover each other,
/// share one plan and one registry of upstreams, and route by tokens.

#include "fleet/control_node.hpp"
#include "fleet/directory_subscription.hpp"
#include "fleet/entry_node.hpp"
#include "fleet/fault_tolerance.hpp"
#include "fleet/fleet_log.hpp"
#include "fleet/fleet_program.hpp"
#include "fleet/fleet_times.hpp"
#include "fleet/metrics_server.hpp"
