#pragma once

/// Public header of the traffic library: decisions about the packets of callers
/// where flows are routed by token. All of them are pure: times are passed in.

#include "traffic/link_admission.hpp"
#include "traffic/link_scheduler.hpp"
#include "traffic/token_router.hpp"
