#pragma once

/// Public header of the settings library: checked YAML settings for the
/// programs, their common command line and the set-up of their logs.

#include "settings/command_line.hpp"
#include "settings/control_settings.hpp"
#include "settings/entry_settings.hpp"
#include "settings/event_log.hpp"
#include "settings/fleet_settings.hpp"
#include "settings/log_level.hpp"
#include "settings/repeat_limiter.hpp"
#include "settings/settings_watch.hpp"
#include "settings/text_file.hpp"
