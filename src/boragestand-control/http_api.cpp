#include "http_api.hpp"

#include "state/command_http.hpp"
#include "state/configuration_json.hpp"
#include "state/control_status.hpp"

#include <charconv>

namespace boragestand::control
{

namespace
{

using nlohmann::json;

constexpr std::string_view stream_path = "/v1/configuration/stream";
constexpr std::string_view note_path = "/v1/notes/";

// Longest reason and longest service name in a request to wake the director, in
// bytes.
constexpr std::size_t max_text_size = 512;

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, number);
    return fault == std::errc{} && stop == end ? std::optional(number)
                                               : std::nullopt;
}

std::string role_of(const agreement::agreement_node& node)
{
    if (node.role() == agreement::agreement_role::leader)
    {
        return "leader";
    }
    if (node.role() != agreement::agreement_role::follower)
    {
        return "candidate";
    }
    return node.group().is_voter(node.self()) ? "follower" : "learner";
}

void refuse(const transport::http_request& request, error_kind kind,
            const std::string& message, const http_api::exchange& answer)
{
    answer->respond(state::to_http(
        error{kind, request.method + " " + request.path + ": " + message}));
}

} // namespace

void http_api::handle(const transport::http_request& request,
                      const exchange& answer)
{
    const bool changes =
        state::is_command(request) || request.path == "/v1/members";
    if (stopping_ && changes)
    {
        refuse(request, error_kind::unavailable, "this instance is stopping",
               answer);
        return;
    }
    if (state::is_command(request))
    {
        dependencies_.commands.handle(request, answer);
        return;
    }
    if (dependencies_.group.handle(request, answer))
    {
        return;
    }
    const bool known = request.method == "GET" ? handle_get(request, answer)
                                               : handle_post(request, answer);
    if (!known)
    {
        refuse(request, error_kind::not_found, "no such request", answer);
    }
}

bool http_api::handle_get(const transport::http_request& request,
                          const exchange& answer)
{
    const std::string_view path = request.path;
    if (path == "/v1/status")
    {
        answer->respond({.status = 200, .headers = {}, .body = status()});
        return true;
    }
    if (path == "/v1/configuration")
    {
        const auto current = dependencies_.host.state().current();
        answer->respond(state::json_response(200, state::to_json(*current)));
        return true;
    }
    if (path.substr(0, path.find('?')) == stream_path)
    {
        open_stream(path, answer);
        return true;
    }
    if (path.starts_with(note_path))
    {
        send_note(path.substr(note_path.size()), answer);
        return true;
    }
    return false;
}

bool http_api::handle_post(const transport::http_request& request,
                           const exchange& answer)
{
    if (request.method != "POST")
    {
        return false;
    }
    if (request.path == "/v1/revisions")
    {
        report_revision(request, answer);
        return true;
    }
    if (request.path == "/v1/director-requests")
    {
        request_director(request, answer);
        return true;
    }
    if (request.path == "/v1/notes/check")
    {
        answer->respond(state::check_response(
            dependencies_.host.state().check_note(request.body)));
        return true;
    }
    return false;
}

void http_api::report_revision(const transport::http_request& request,
                               const exchange& answer)
{
    const json body = json::parse(request.body, nullptr, false);
    try
    {
        const auto instance = body.at("instance").get<std::uint32_t>();
        const auto revision = body.at("revision").get<std::uint64_t>();
        const auto changed = dependencies_.reports.record(
            instance, body.at("incarnation").get<std::uint64_t>(), revision,
            dependencies_.timers.now());
        if (!changed)
        {
            answer->respond(state::to_http(changed.error()));
            return;
        }
        if (*changed)
        {
            dependencies_.log.log_revision_report(instance, revision);
        }
        answer->respond({.status = 200, .headers = {}, .body = "{}"});
    }
    catch (const json::exception& problem)
    {
        refuse(request, error_kind::invalid_argument, problem.what(), answer);
    }
}

void http_api::request_director(const transport::http_request& request,
                                const exchange& answer)
{
    const json body = json::parse(request.body, nullptr, false);
    try
    {
        const director_wake_request wake{
            body.at("instance").get<std::uint32_t>(),
            body.at("service").get<std::string>(),
            body.at("episode").get<std::uint64_t>(),
            body.at("reason").get<std::string>()};
        if (wake.service.size() > max_text_size ||
            wake.reason.size() > max_text_size)
        {
            refuse(request, error_kind::invalid_argument,
                   "service and reason must have at most " +
                       std::to_string(max_text_size) + " bytes each",
                   answer);
            return;
        }
        dependencies_.director.add(wake, answer);
    }
    catch (const json::exception& problem)
    {
        refuse(request, error_kind::invalid_argument, problem.what(), answer);
    }
}

void http_api::send_note(std::string_view number, const exchange& answer)
{
    const auto wanted = parse_number(number);
    const auto* note =
        wanted ? dependencies_.host.state().find_note(*wanted) : nullptr;
    if (note == nullptr)
    {
        answer->respond(state::to_http(
            error{error_kind::not_found,
                  "no accepted note has number " + std::string(number)}));
        return;
    }
    answer->respond(state::to_http(*note));
}

void http_api::open_stream(std::string_view path, const exchange& answer)
{
    constexpr std::string_view query = "?after=";
    const auto rest = path.substr(stream_path.size());
    const auto after = rest.starts_with(query)
                           ? parse_number(rest.substr(query.size()))
                           : std::nullopt;
    if (!after)
    {
        answer->respond(
            state::to_http(error{error_kind::invalid_argument,
                                 "the query ?after=REVISION is required"}));
        return;
    }
    dependencies_.streams.add(answer, *after, dependencies_.host.state());
}

std::string http_api::status() const
{
    const auto& node = dependencies_.host.node();
    const auto configuration = dependencies_.host.state().current();
    state::control_status status;
    status.instance = instance_id{replica::instance_of(node.self())};
    status.role = role_of(node);
    status.term = node.term();
    if (const auto leader = dependencies_.host.leader_address())
    {
        status.leader = transport::to_string(*leader);
    }
    status.commit_index = node.commit_index();
    status.applied_index = node.commit_index();
    status.revision = configuration->revision;
    status.note_number = configuration->note_number;
    for (const auto& member : node.group().members)
    {
        status.members.push_back({instance_id{replica::instance_of(member.id)},
                                  transport::to_string(member.address),
                                  member.voter});
    }
    status.entries = dependencies_.reports.list(dependencies_.timers.now());
    return state::to_json(status).dump();
}

} // namespace boragestand::control
