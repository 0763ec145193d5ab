#include "commands.hpp"

#include "settings/settings.hpp"

#include <charconv>

namespace boragestand::ctl
{

namespace
{

using nlohmann::json;

result<std::string> read_note(const std::string& file)
{
    return settings::read_text_file(file, state::max_note_size);
}

/// Fetches the configuration from the first instance that answers.
result<state::configuration> current_configuration(control_group& group)
{
    const auto response = group.ask_any({"GET", "/v1/configuration", {}, ""});
    if (!response)
    {
        return tl::unexpected(response.error());
    }
    if (!is_success(*response))
    {
        return tl::unexpected(state::parse_error(*response));
    }
    return state::configuration_from_json(response->body);
}

command_report
make_diff_report(const state::configuration& current,
                 const std::vector<state::configuration_change>& changes)
{
    command_report report;
    report.json = {{"revision", current.revision}, {"changes", json::array()}};
    report.text =
        "against revision " + std::to_string(current.revision) + ":\n";
    for (const state::configuration_change& each : changes)
    {
        report.text += to_string(each) + "\n";
        report.json["changes"].push_back(to_string(each));
    }
    if (changes.empty())
    {
        report.text += "no change\n";
    }
    return report;
}

command_report show_configuration(control_group& group)
{
    const auto current = current_configuration(group);
    if (!current)
    {
        return make_error_report(current.error());
    }
    command_report report;
    report.json = state::to_json(*current);
    report.text = "revision " + std::to_string(current->revision) +
                  ", newest note " + std::to_string(current->note_number) +
                  "\n";
    for (const auto& each : state::diff({}, *current))
    {
        report.text += each.object + ": " + each.details + "\n";
    }
    return report;
}

} // namespace

command_report run_check(const invocation& call, control_group& group)
{
    const std::string& file = call.arguments.front();
    const auto text = read_note(file);
    if (!text)
    {
        return make_error_report(text.error());
    }
    const auto response = group.ask_any({"POST", "/v1/notes/check", {}, *text});
    if (!response)
    {
        return make_error_report(response.error());
    }
    if (!is_success(*response))
    {
        return make_error_report(*response, file);
    }
    const json body = parse_body(*response);
    if (!body.contains("faults") || !body["faults"].is_array())
    {
        return make_error_report(
            {error_kind::malformed_message,
             "the response to the check has no list of faults"});
    }
    if (body["faults"].empty())
    {
        return {0, file + ": no faults\n", {{"faults", json::array()}}};
    }
    return make_error_report(
        state::json_response(
            error_info_for(error_kind::invalid_release_note).http_status,
            {{"error", error_info_for(error_kind::invalid_release_note).name},
             {"message", "the note does not fit the configuration"},
             {"faults", body["faults"]}}),
        file);
}

command_report run_diff(const invocation& call, control_group& group)
{
    const std::string& file = call.arguments.front();
    const auto text = read_note(file);
    if (!text)
    {
        return make_error_report(text.error());
    }
    const auto current = current_configuration(group);
    if (!current)
    {
        return make_error_report(current.error());
    }
    const auto checked = state::check_release_note(*text, *current);
    if (!checked)
    {
        return make_error_report(checked.error(), file);
    }
    return make_diff_report(*current, state::diff(*current, checked->next));
}

command_report run_show(const invocation& call, control_group& group)
{
    if (call.arguments.empty())
    {
        return show_configuration(group);
    }
    const std::string& number = call.arguments.front();
    std::uint64_t value = 0;
    const char* const end = number.data() + number.size();
    const auto [next, status] = std::from_chars(number.data(), end, value);
    if (status != std::errc() || next != end)
    {
        return make_error_report(
            {error_kind::invalid_argument,
             "expected the number of a note, found " + number});
    }
    const auto response =
        group.ask_any({"GET", "/v1/notes/" + std::to_string(value), {}, ""});
    if (!response)
    {
        return make_error_report(response.error());
    }
    if (!is_success(*response))
    {
        return make_error_report(*response, "note " + number);
    }
    command_report report;
    report.json = parse_body(*response);
    const std::string text = report.json.value("text", std::string());
    report.text = "# note " + number + ", revision " +
                  std::to_string(number_in(report.json, "revision")) +
                  ", digest " + report.json.value("digest", std::string()) +
                  "\n" + text;
    if (text.empty())
    {
        report.text += "# the text is no longer held\n";
    }
    return report;
}

} // namespace boragestand::ctl
