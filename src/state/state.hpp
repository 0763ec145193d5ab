#pragma once

/// Public header of the state library: the replicated configuration and the
/// tables and files that hold the state of a process.

#include "state/command_http.hpp"
#include "state/configuration.hpp"
#include "state/configuration_diff.hpp"
#include "state/configuration_json.hpp"
#include "state/configuration_update.hpp"
#include "state/control_command.hpp"
#include "state/control_state.hpp"
#include "state/control_status.hpp"
#include "state/durable_log.hpp"
#include "state/evacuation.hpp"
#include "state/file_disk.hpp"
#include "state/fleet_command.hpp"
#include "state/flow_table.hpp"
#include "state/hard_state_store.hpp"
#include "state/note_application.hpp"
#include "state/pin_table.hpp"
#include "state/plan_check.hpp"
#include "state/plan_comparison.hpp"
#include "state/plan_digest.hpp"
#include "state/release_note.hpp"
#include "state/routing_plan.hpp"
#include "state/snapshot_store.hpp"
