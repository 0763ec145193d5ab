#include "commands.hpp"

namespace boragestand::ctl
{

namespace
{

using nlohmann::json;

command_report make_usage_error_report(const std::string& message)
{
    return make_error_report({error_kind::invalid_argument, message});
}

/// Sends a command to the leader. On success, the report starts with the given
/// text, followed by the id, if any, and the revision.
command_report run_action(const state::command_action& action,
                          const std::string& success, const invocation& call,
                          control_group& group)
{
    const auto response =
        group.ask_leader(state::to_http(action, call.identity));
    if (!response || !is_success(*response))
    {
        return make_command_error_report(response, call.command, call.identity);
    }
    command_report report;
    report.json = parse_body(*response);
    report.text = success;
    if (report.json.contains("id"))
    {
        report.text +=
            " with id " + std::to_string(number_in(report.json, "id"));
    }
    report.text += ", revision " +
                   std::to_string(number_in(report.json, "revision")) + "\n";
    return report;
}

command_report drain_instance(const std::string& text, control_group& group)
{
    const auto instance = transport::parse_endpoint(text);
    if (!instance)
    {
        return make_usage_error_report("--instance: " +
                                       instance.error().message);
    }
    const auto response = group.ask(*instance, {"POST", "/v1/drain", {}, ""});
    if (!response)
    {
        return make_error_report(response.error());
    }
    if (!is_success(*response))
    {
        return make_error_report(*response, text);
    }
    return {0,
            "entry instance " + text +
                " stops when its flows are handed over\n",
            {{"instance", text}, {"state", "leaving"}}};
}

command_report set_upstream_drain(bool drain, const invocation& call,
                                  control_group& group)
{
    const std::string& service = call.arguments[0];
    const std::string& upstream = call.arguments[1];
    return run_action(state::set_drain{service, upstream, drain},
                      "upstream " + upstream + " of " + service +
                          (drain ? " drains" : " takes new flows again"),
                      call, group);
}

/// Lists the required options that are missing; empty if none.
std::string missing_options(const invocation& call,
                            std::initializer_list<const char*> required)
{
    std::string text;
    for (const char* option : required)
    {
        if (!call.options.contains(option))
        {
            text +=
                (text.empty() ? "missing --" : ", --") + std::string(option);
        }
    }
    return text;
}

struct member_action
{
    std::string_view name;
    std::initializer_list<const char*> required;
};

const member_action* find_member_action(std::string_view name)
{
    static const member_action actions[] = {
        {"add", {"id", "http"}},
        {"remove", {"id"}},
        {"replace", {"id", "http", "replaces"}}};
    for (const member_action& action : actions)
    {
        if (action.name == name)
        {
            return &action;
        }
    }
    return nullptr;
}

json member_body(const invocation& call)
{
    json body{{"action", call.arguments.front()},
              {"id", call.options["id"].as<std::uint32_t>()}};
    if (call.options.contains("http"))
    {
        body["http"] = call.options["http"].as<std::string>();
    }
    if (call.options.contains("replaces"))
    {
        body["replaces"] = call.options["replaces"].as<std::uint32_t>();
    }
    return body;
}

} // namespace

command_report run_drain(const invocation& call, control_group& group)
{
    const bool instance = call.options.contains("instance");
    if (instance && call.arguments.empty())
    {
        return drain_instance(call.options["instance"].as<std::string>(),
                              group);
    }
    if (instance || call.arguments.size() != 2)
    {
        return make_usage_error_report(
            "expected SERVICE UPSTREAM or --instance");
    }
    return set_upstream_drain(true, call, group);
}

command_report run_undrain(const invocation& call, control_group& group)
{
    return set_upstream_drain(false, call, group);
}

command_report run_agree(const invocation& call, control_group& group)
{
    if (call.options.contains("withdraw"))
    {
        const auto id = call.options["withdraw"].as<std::uint64_t>();
        return run_action(state::withdraw_agreement{id}, "agreement withdrawn",
                          call, group);
    }
    const std::string missing =
        missing_options(call, {"director", "service", "limit", "expires"});
    if (!missing.empty())
    {
        return make_usage_error_report(missing);
    }
    return run_action(
        state::record_agreement{call.options["director"].as<std::string>(),
                                call.options["service"].as<std::string>(),
                                call.options["rule"].as<std::string>(),
                                call.options["limit"].as<std::uint32_t>(),
                                call.options["expires"].as<std::uint32_t>()},
        "agreement recorded", call, group);
}

command_report run_member(const invocation& call, control_group& group)
{
    const member_action* action = find_member_action(call.arguments.front());
    if (action == nullptr)
    {
        return make_usage_error_report(
            "expected add, remove or replace, found " + call.arguments.front());
    }
    const std::string missing = missing_options(call, action->required);
    if (!missing.empty())
    {
        return make_usage_error_report(missing);
    }
    transport::http_request request{
        "POST", "/v1/members", {}, member_body(call).dump()};
    request.headers["client-id"] = call.identity.client;
    request.headers["client-sequence"] = std::to_string(call.identity.sequence);
    const auto response = group.ask_leader(request);
    if (!response)
    {
        return make_error_report(response.error());
    }
    if (!is_success(*response))
    {
        return make_error_report(*response, call.command);
    }
    return {0, "member change " + call.arguments.front() + " accepted\n",
            parse_body(*response)};
}

} // namespace boragestand::ctl
