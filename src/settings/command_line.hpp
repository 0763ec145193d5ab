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

/// Name of a program and what it is for, for its help.
struct program_description
{
    std::string name;
    std::string summary;
};

/// Settings to run with, or the status to exit with at once: 0 after an option
/// that only prints, else that of the error kind.
template <typename Settings>
using start = std::variant<Settings, int>;

/// Version of the project, such as "0.1.0".
std::string_view version();

/// Handles --settings FILE, --check-settings, --print-settings, --version and
/// --help. Faults go to err, one line each as FILE:LINE:COLUMN: MESSAGE.
start<entry_settings> start_entry(const program_description& program, int argc,
                                  const char* const* argv, std::ostream& out,
                                  std::ostream& err);

/// As start_entry, for control instances.
start<control_settings> start_control(const program_description& program,
                                      int argc, const char* const* argv,
                                      std::ostream& out, std::ostream& err);

/// As start_entry, for instances of a fleet whose instances find each other;
/// their settings can be read again.
start<settings_watch> start_fleet(const program_description& program, int argc,
                                  const char* const* argv, std::ostream& out,
                                  std::ostream& err);

/// Writes the table of exit statuses, for the help of programs.
void print_exit_statuses(std::ostream& out);

} // namespace boragestand::settings
