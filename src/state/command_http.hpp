#pragma once

#include "state/control_state.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The HTTP form of commands and outcomes, shared by boragestand-control and
/// boragestandctl.
namespace boragestand::state
{

/// The request of an action: POST /v1/notes, POST /v1/agreements,
/// DELETE /v1/agreements/ID or POST /v1/drains, with the headers client-id and
/// client-sequence.
transport::http_request to_http(const command_action& action,
                                const request_identity& identity);

/// Whether a request has a method and path that to_http() produces.
bool is_command(const transport::http_request& request);

/// The action of such a request; error_kind::invalid_argument if its body is
/// malformed, error_kind::not_found for another path.
result<command_action> parse_action(const transport::http_request& request);

/// The request identity in the headers; error_kind::invalid_argument if one is
/// missing or malformed.
result<request_identity> parse_identity(const transport::http_headers& headers);

/// The answer to a command with this outcome.
transport::http_response to_http(const command_outcome& outcome);

/// The answer to a request that failed: status of the kind, and a body with
/// error and message.
transport::http_response to_http(const error& fault);

/// As to_http(error) for error_kind::not_leader, with a leader header if it is
/// known.
transport::http_response
not_leader_response(const std::optional<transport::endpoint>& leader);

/// The answer to POST /v1/notes/check: status 200 and {"faults": [...]}.
transport::http_response
check_response(const std::vector<document::fault>& faults);

/// The answer to GET /v1/notes/N: number, revision, digest and text, which is
/// empty if it is no longer stored.
transport::http_response to_http(const accepted_note& note);

/// The error of a response whose status is not 2xx.
error parse_error(const transport::http_response& response);

/// A response with a JSON body. Text that is not valid UTF-8 is replaced.
transport::http_response json_response(int status, const nlohmann::json& body);

} // namespace boragestand::state
