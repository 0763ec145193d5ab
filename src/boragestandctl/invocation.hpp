#pragma once

#include "state/state.hpp"

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace boragestand::ctl
{

/// A command line after parsing: common options and those of the command.
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

/// What a command has to say.
struct command_report
{
    int exit_status{0};
    std::string text;    ///< for people, with line ends
    nlohmann::json json; ///< for --json
};

/// The report of an error: its message and the exit status of its kind.
command_report report_of(const error& fault);

/// The report of a failed request, with the faults or the winner that the
/// response names. source stands before each fault's line and column.
command_report report_of(const transport::http_response& response,
                         const std::string& source);

/// The report of a command that was not accepted. If it may succeed later, or
/// may have run, it says how to resend it without running it twice.
command_report
report_of_command(const result<transport::http_response>& response,
                  const std::string& source,
                  const state::request_identity& identity);

/// The report of faults in a release note.
command_report report_of(const std::vector<document::fault>& faults,
                         const std::string& source);

/// The body of a response as JSON, or an empty object if it is none.
nlohmann::json body_of(const transport::http_response& response);

/// A number of a JSON object, or 0.
std::uint64_t number_in(const nlohmann::json& body, const char* key);

/// Whether a status is 2xx.
bool is_success(const transport::http_response& response);

} // namespace boragestand::ctl
