#pragma once

#include "invocation.hpp"

#include <iosfwd>
#include <variant>

namespace boragestand::ctl
{

/// Parses a command line. Returns the status to exit with at once after --help,
/// --version or an error, which is written to err.
std::variant<invocation, int> parse_command_line(int argc,
                                                 const char* const* argv,
                                                 std::ostream& out,
                                                 std::ostream& err);

/// Reads a YAML file {control: [A.B.C.D:PORT, ...]}.
document::checked<std::vector<transport::endpoint>>
read_control_file(std::string_view yaml);

} // namespace boragestand::ctl
