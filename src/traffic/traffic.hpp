#pragma once

/// Public header of the traffic library: decisions about the packets of callers
/// under load. All of them are pure: times are passed in.

#include "traffic/link_scheduler.hpp"
