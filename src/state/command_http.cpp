#include "state/command_http.hpp"

#include <charconv>

namespace boragestand::state
{

namespace
{

using nlohmann::json;
using transport::http_request;
using transport::http_response;

constexpr std::string_view notes_path = "/v1/notes";
constexpr std::string_view agreements_path = "/v1/agreements";
constexpr std::string_view drains_path = "/v1/drains";
constexpr const char* client_header = "client-id";
constexpr const char* sequence_header = "client-sequence";
constexpr int status_ok = 200;

std::string serialize(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [next, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc() || next != end)
    {
        return std::nullopt;
    }
    return number;
}

struct request_builder
{
    http_request operator()(const submit_note& action) const
    {
        return {"POST", std::string(notes_path), {}, action.text};
    }

    http_request operator()(const record_agreement& action) const
    {
        const json body{{"director", action.director},
                        {"service", action.service},
                        {"rule", action.rule},
                        {"limit_per_minute", action.limit_per_minute},
                        {"expires_in_s", action.expires_in_s}};
        return {"POST", std::string(agreements_path), {}, serialize(body)};
    }

    http_request operator()(const withdraw_agreement& action) const
    {
        return {"DELETE",
                std::string(agreements_path) + "/" + std::to_string(action.id),
                {},
                ""};
    }

    http_request operator()(const set_drain& action) const
    {
        const json body{{"service", action.service},
                        {"upstream", action.upstream},
                        {"drain", action.drain}};
        return {"POST", std::string(drains_path), {}, serialize(body)};
    }
};

record_agreement parse_agreement(const json& body)
{
    record_agreement action;
    action.director = body.at("director").get<std::string>();
    action.service = body.at("service").get<std::string>();
    action.rule = body.value("rule", std::string());
    // Wider than the fields, so that a large number is not truncated to a small
    // one.
    const auto limit = body.at("limit_per_minute").get<std::uint64_t>();
    const auto expires = body.at("expires_in_s").get<std::uint64_t>();
    constexpr std::uint64_t highest = 0xffffffff;
    action.limit_per_minute =
        static_cast<std::uint32_t>(std::min(limit, highest));
    action.expires_in_s =
        static_cast<std::uint32_t>(std::min(expires, highest));
    return action;
}

set_drain parse_drain(const json& body)
{
    return {body.at("service").get<std::string>(),
            body.at("upstream").get<std::string>(),
            body.at("drain").get<bool>()};
}

/// Reads a JSON body; type errors of the library become invalid_argument.
template <typename Action>
result<command_action> read_body(const std::string& text,
                                 Action (*read)(const json&))
{
    try
    {
        return read(json::parse(text));
    }
    catch (const json::exception& fault)
    {
        return failure(error_kind::invalid_argument,
                       std::string("request body: ") + fault.what());
    }
}

/// The part of a path after PREFIX/, or nothing.
std::optional<std::string_view> path_after(std::string_view path,
                                           std::string_view prefix)
{
    if (!path.starts_with(prefix) || path.size() <= prefix.size() + 1 ||
        path[prefix.size()] != '/')
    {
        return std::nullopt;
    }
    return path.substr(prefix.size() + 1);
}

json make_json(const note_winner& winner)
{
    return {{"number", winner.number},
            {"digest", winner.digest},
            {"revision", winner.revision}};
}

json make_json(const std::vector<document::fault>& faults)
{
    json list = json::array();
    for (const document::fault& fault : faults)
    {
        list.push_back({{"line", fault.where.line},
                        {"column", fault.where.column},
                        {"message", fault.message}});
    }
    return list;
}

http_response error_response(error_kind kind, std::string message,
                             json fields = json::object())
{
    const error_info& answer = error_info_for(kind);
    fields["error"] = answer.name;
    fields["message"] = std::move(message);
    return json_response(answer.http_status, fields);
}

struct response_builder
{
    http_response operator()(const note_accepted& outcome) const
    {
        return json_response(status_ok, {{"number", outcome.number},
                                         {"revision", outcome.revision},
                                         {"digest", outcome.digest},
                                         {"outcome", outcome.already_accepted
                                                         ? "already_accepted"
                                                         : "accepted"}});
    }

    http_response operator()(const note_conflict& outcome) const
    {
        return error_response(error_kind::conflict,
                              "another note with number " +
                                  std::to_string(outcome.winner.number) +
                                  " was accepted first",
                              {{"winner", make_json(outcome.winner)}});
    }

    http_response operator()(const note_invalid& outcome) const
    {
        return error_response(error_kind::invalid_release_note,
                              "the note does not fit the configuration",
                              {{"faults", make_json(outcome.faults)}});
    }

    http_response operator()(const agreement_recorded& outcome) const
    {
        return json_response(
            status_ok, {{"id", outcome.id}, {"revision", outcome.revision}});
    }

    http_response operator()(const agreement_withdrawn& outcome) const
    {
        return json_response(
            status_ok, {{"id", outcome.id}, {"revision", outcome.revision}});
    }

    http_response operator()(const drain_set& outcome) const
    {
        return json_response(status_ok, {{"revision", outcome.revision}});
    }

    http_response operator()(const command_failed& outcome) const
    {
        return to_http(outcome.cause);
    }
};

} // namespace

http_request to_http(const command_action& action,
                     const request_identity& identity)
{
    http_request request = std::visit(request_builder{}, action);
    request.headers[client_header] = identity.client;
    request.headers[sequence_header] = std::to_string(identity.sequence);
    return request;
}

bool is_command(const http_request& request)
{
    if (request.method == "DELETE")
    {
        return path_after(request.path, agreements_path).has_value();
    }
    return request.method == "POST" &&
           (request.path == notes_path || request.path == agreements_path ||
            request.path == drains_path);
}

result<command_action> parse_action(const http_request& request)
{
    if (!is_command(request))
    {
        return failure(error_kind::not_found, request.method + " " +
                                                  request.path +
                                                  " is not a command");
    }
    if (request.method == "DELETE")
    {
        const auto id =
            parse_number(*path_after(request.path, agreements_path));
        if (!id)
        {
            return failure(error_kind::invalid_argument,
                           "agreement id must be a number");
        }
        return withdraw_agreement{*id};
    }
    if (request.path == agreements_path)
    {
        return read_body(request.body, &parse_agreement);
    }
    if (request.path == drains_path)
    {
        return read_body(request.body, &parse_drain);
    }
    return submit_note{request.body};
}

result<request_identity> parse_identity(const transport::http_headers& headers)
{
    const auto client = headers.find(client_header);
    const auto sequence = headers.find(sequence_header);
    if (client == headers.end() || sequence == headers.end())
    {
        return failure(error_kind::invalid_argument,
                       "headers client-id and client-sequence are required");
    }
    if (client->second.empty() || client->second.size() > max_identifier_size)
    {
        return failure(error_kind::invalid_argument,
                       "client-id must have 1 to " +
                           std::to_string(max_identifier_size) + " bytes");
    }
    const auto number = parse_number(sequence->second);
    if (!number || *number == 0)
    {
        return failure(error_kind::invalid_argument,
                       "client-sequence must be a number from 1");
    }
    return request_identity{client->second, *number};
}

http_response to_http(const command_outcome& outcome)
{
    return std::visit(response_builder{}, outcome);
}

http_response to_http(const error& fault)
{
    return error_response(fault.kind, fault.message);
}

http_response
not_leader_response(const std::optional<transport::endpoint>& leader)
{
    http_response response =
        error_response(error_kind::not_leader,
                       leader ? "the leader is " + transport::to_string(*leader)
                              : std::string("no leader is known"));
    if (leader)
    {
        response.headers["leader"] = transport::to_string(*leader);
    }
    return response;
}

http_response check_response(const std::vector<document::fault>& faults)
{
    return json_response(status_ok, {{"faults", make_json(faults)}});
}

http_response to_http(const accepted_note& note)
{
    return json_response(status_ok, {{"number", note.number},
                                     {"revision", note.revision},
                                     {"digest", note.digest},
                                     {"text", note.text}});
}

error parse_error(const http_response& response)
{
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("error") ||
        !body["error"].is_string() || !body.contains("message") ||
        !body["message"].is_string())
    {
        return {error_kind::malformed_message,
                "status " + std::to_string(response.status) +
                    " without an error body"};
    }
    return {parse_error_kind(body["error"].get<std::string>()),
            body["message"].get<std::string>()};
}

http_response json_response(int status, const json& body)
{
    return {
        status, {{"content-type", "application/json"}}, serialize(body) + "\n"};
}

} // namespace boragestand::state
