#pragma once

#include "document/document.hpp"
#include "settings/control_settings.hpp"
#include "settings/entry_settings.hpp"
#include "settings/settings_watch.hpp"

#include <iosfwd>
#include <string>
#include <string_view>
#include <variant>

namespace boragestand::settings
{

/// Name and purpose of a program, printed by --help.
struct program_description
{
    std::string name;
    std::string summary;
};

/// The settings to run with, or the status to exit with: 0 after an option that
/// only prints or checks, else that of the error kind.
template <typename Settings>
using command_line_result = std::variant<Settings, int>;

/// Version of the project, such as "0.1.0".
std::string_view version();

/// Handles --settings FILE, --check-settings, --print-settings, --version and
/// --help. Writes each fault to err as one line FILE:LINE:COLUMN: MESSAGE.
command_line_result<entry_settings>
parse_entry_command_line(const program_description& program, int argc,
                         const char* const* argv, std::ostream& out,
                         std::ostream& err);

/// As parse_entry_command_line, for control instances.
command_line_result<control_settings>
parse_control_command_line(const program_description& program, int argc,
                           const char* const* argv, std::ostream& out,
                           std::ostream& err);

/// As parse_entry_command_line, for instances of a fleet whose instances
/// discover each other; their settings can be reloaded.
command_line_result<settings_watch>
parse_fleet_command_line(const program_description& program, int argc,
                         const char* const* argv, std::ostream& out,
                         std::ostream& err);

/// Prints the table of exit statuses as part of --help.
void print_exit_statuses(std::ostream& out);

} // namespace boragestand::settings
