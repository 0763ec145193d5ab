#pragma once

#include "state/state.hpp"

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace boragestand::ctl
{

/// A parsed command line.
struct invocation
{
    std::string command;
    std::vector<std::string> arguments; ///< after the command, no options
    boost::program_options::variables_map options;
    std::vector<transport::endpoint> control;
    duration timeout{std::chrono::seconds(10)};
    bool json{false};
    state::request_identity identity;
};

/// Result of a command: exit status and output.
struct command_report
{
    int exit_status{0};
    std::string text;    ///< human-readable, with newlines
    nlohmann::json json; ///< output of --json
};

/// Makes a report from an error: its message and the exit status of its kind.
command_report make_error_report(const error& fault);

/// Makes a report from a failed request, with the faults or the winning note
/// from the response. Each fault is prefixed with source, line and column.
command_report make_error_report(const transport::http_response& response,
                                 const std::string& source);

/// Makes a report from a command that failed. If a retry may succeed, or the
/// command may have run, the report gives the options to resend it
/// idempotently.
command_report
make_command_error_report(const result<transport::http_response>& response,
                          const std::string& source,
                          const state::request_identity& identity);

/// Makes a report from the faults of a release note.
command_report make_error_report(const std::vector<document::fault>& faults,
                                 const std::string& source);

/// Parses the body of a response; an empty object if it is no JSON object.
nlohmann::json parse_body(const transport::http_response& response);

/// Returns an unsigned number of a JSON object; 0 if absent or of another type.
std::uint64_t number_in(const nlohmann::json& body, const char* key);

/// Whether the response has a 2xx status.
bool is_success(const transport::http_response& response);

} // namespace boragestand::ctl
