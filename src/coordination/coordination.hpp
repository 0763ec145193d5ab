#pragma once

/// Public header of the coordination library: the decisions about
/// membership, ownership, placement and admission. All of them are pure: events
/// with a time go in, effects come out.

#include "coordination/directory_messages.hpp"
#include "coordination/flow_events.hpp"
#include "coordination/flow_router.hpp"
#include "coordination/load_evidence.hpp"
#include "coordination/load_exchange.hpp"
#include "coordination/plan_copy.hpp"
#include "coordination/plan_messages.hpp"
#include "coordination/plan_publisher.hpp"
#include "coordination/traffic_policy.hpp"
#include "coordination/traffic_types.hpp"
#include "coordination/upstream_checks.hpp"
#include "coordination/upstream_registry.hpp"
#include "coordination/warmup_granter.hpp"
