#pragma once

/// Public header of the state library: the replicated configuration and the
/// tables and files that hold the state of a process.

#include "state/configuration.hpp"
#include "state/flow_table.hpp"
#include "state/pin_table.hpp"
