#include "http_service.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace boragestand::entry
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view upstreams_prefix = "/v1/upstreams/";
constexpr std::string_view stream_prefix = "/v1/configuration/stream";

void respond(transport::http_exchange& answer, int status, std::string body,
             const char* type = "application/json")
{
    answer.respond({.status = status,
                    .headers = {{"content-type", type}},
                    .body = std::move(body)});
}

void respond_error(transport::http_exchange& answer, const error& cause)
{
    const error_info& row = error_info_for(cause.kind);
    const json body{{"error", std::string(row.name)},
                    {"message", cause.message}};
    respond(answer, row.http_status,
            body.dump(-1, ' ', false, json::error_handler_t::replace));
}

struct upstream_path
{
    std::string_view service;
    std::string_view name;
};

result<upstream_path> split_path(std::string_view service_and_name)
{
    const auto slash = service_and_name.find('/');
    if (slash == std::string_view::npos ||
        service_and_name.find('/', slash + 1) != std::string_view::npos)
    {
        return failure(error_kind::invalid_argument,
                       "the path must be /v1/upstreams/SERVICE/NAME");
    }
    return upstream_path{service_and_name.substr(0, slash),
                         service_and_name.substr(slash + 1)};
}

std::optional<std::uint64_t> parse_revision(std::string_view path)
{
    constexpr std::string_view parameter = "?after=";
    const auto start = path.find(parameter);
    if (start == std::string_view::npos)
    {
        return 0;
    }
    const auto text = path.substr(start + parameter.size());
    std::uint64_t revision = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, revision);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return revision;
}

} // namespace

http_service::http_service(data_centre_id data_centre,
                           configuration_publisher& publisher,
                           http_service_hooks hooks)
    : data_centre_(data_centre), publisher_(publisher), hooks_(std::move(hooks))
{
}

void http_service::handle(const transport::http_request& request,
                          const exchange& answer)
{
    const std::string_view path = request.path;
    const bool is_upstream = path.starts_with(upstreams_prefix);
    if (is_upstream && request.method == "PUT")
    {
        return announce(request, path.substr(upstreams_prefix.size()), answer);
    }
    if (is_upstream && request.method == "DELETE")
    {
        return withdraw(path.substr(upstreams_prefix.size()), answer);
    }
    if (request.method == "GET" && path.starts_with(stream_prefix))
    {
        return stream_configuration(path, answer);
    }
    if (request.method == "GET" && path == "/metrics")
    {
        return respond(*answer, 200, hooks_.metrics(),
                       "text/plain; version=0.0.4");
    }
    if (request.method == "GET" && path == "/v1/status")
    {
        return respond(*answer, 200, hooks_.status());
    }
    if (request.method == "POST" && path == "/v1/drain")
    {
        hooks_.drain();
        return respond(*answer, 202, "{}");
    }
    if (request.method == "PUT" && path == "/v1/log-level")
    {
        return change_log_level(request.body, answer);
    }
    respond_error(
        *answer, {error_kind::not_found, "no resource " + request.method + ' ' +
                                             request.path.substr(0, 200)});
}

void http_service::announce(const transport::http_request& request,
                            std::string_view service_and_name,
                            const exchange& answer)
{
    const auto path = split_path(service_and_name);
    if (!path)
    {
        return respond_error(*answer, path.error());
    }
    const auto service = find_service(path->service);
    if (!service)
    {
        return respond_error(*answer, service.error());
    }
    const auto version = static_cast<std::uint64_t>(
        hooks_.wall_now().time_since_epoch().count());
    const auto announcement = parse_announcement(
        request.body, (*service)->id, path->name, data_centre_, version);
    if (!announcement)
    {
        return respond_error(*answer, announcement.error());
    }
    hooks_.on_announcement(*announcement);
    respond(*answer, 200,
            json{{"lease_ms", announcement->record.lease_ms}}.dump());
}

void http_service::withdraw(std::string_view service_and_name,
                            const exchange& answer)
{
    const auto path = split_path(service_and_name);
    if (!path)
    {
        return respond_error(*answer, path.error());
    }
    const auto service = find_service(path->service);
    if (!service)
    {
        return respond_error(*answer, service.error());
    }
    hooks_.on_withdrawal((*service)->id, path->name);
    respond(*answer, 200, "{}");
}

void http_service::stream_configuration(std::string_view path,
                                        const exchange& answer)
{
    const auto after = parse_revision(path);
    if (!after)
    {
        return respond_error(*answer, {error_kind::invalid_argument,
                                       "after must be a revision number"});
    }
    publisher_.subscribe(answer, *after);
}

void http_service::change_log_level(const std::string& body,
                                    const exchange& answer)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("level") ||
        !object["level"].is_string())
    {
        return respond_error(*answer, {error_kind::invalid_argument,
                                       "the body must be {\"level\": NAME}"});
    }
    const auto changed =
        hooks_.set_log_level(object["level"].get<std::string>());
    if (!changed)
    {
        return respond_error(*answer, changed.error());
    }
    respond(*answer, 200, "{}");
}

result<const state::service*>
http_service::find_service(std::string_view name) const
{
    const auto* service = hooks_.configuration()->find_service(name);
    if (service == nullptr)
    {
        return failure(error_kind::unknown_service,
                       "service \"" + std::string(name.substr(0, 64)) +
                           "\" does not exist");
    }
    return service;
}

} // namespace boragestand::entry
