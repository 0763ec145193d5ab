#include "commands.hpp"

#include "entry_progress.hpp"
#include "settings/settings.hpp"

namespace boragestand::ctl
{

namespace
{

using nlohmann::json;

/// Exit status of a note that is accepted, but not in effect everywhere. The
/// statuses of error kinds start at 2, and none of them tells that the note is
/// accepted.
constexpr int partly_in_effect = 1;

std::string names_text(const std::vector<state::status_entry>& entries)
{
    std::string text;
    for (const state::status_entry& entry : entries)
    {
        text += (text.empty() ? "" : ", ") + entry.name;
    }
    return text;
}

/// Adds where the note is in effect and which instances were not reached.
void add_reach(const reach& split, command_report& report)
{
    report.json["in_effect"] = json_of(split.in_effect);
    report.json["not_reached"] = json_of(split.missing);
    const std::size_t all = split.in_effect.size() + split.missing.size();
    report.text += "in effect at " + std::to_string(split.in_effect.size()) +
                   " of " + std::to_string(all) + " entry instances";
    report.text += split.in_effect.empty()
                       ? "\n"
                       : ": " + names_text(split.in_effect) + "\n";
    for (const state::status_entry& entry : split.missing)
    {
        report.text +=
            "not reached: " + entry.name + " (" + progress_text(entry) + ")\n";
    }
    if (all == 0)
    {
        report.text += "no control instance tells which entry instances "
                       "have it\n";
    }
    if (all == 0 || !split.missing.empty())
    {
        report.exit_status = partly_in_effect;
    }
}

} // namespace

command_report run_submit(const invocation& call, control_group& group)
{
    const std::string& file = call.arguments.front();
    const auto text = settings::read_text_file(file, state::max_note_size);
    if (!text)
    {
        return report_of(text.error());
    }
    const auto response = group.ask_leader(
        state::to_http(state::submit_note{*text}, call.identity));
    if (!response || !is_success(*response))
    {
        return report_of_command(response, file, call.identity);
    }
    command_report report;
    report.json = body_of(*response);
    const std::uint64_t revision = number_in(report.json, "revision");
    const bool already =
        report.json.value("outcome", std::string()) == "already_accepted";
    report.text = "note " + std::to_string(number_in(report.json, "number")) +
                  (already ? " was accepted before" : " accepted") +
                  " as revision " + std::to_string(revision) + "\n";
    if (call.options.contains("no-wait"))
    {
        return report;
    }
    add_reach(wait_until_in_effect(revision, group), report);
    return report;
}

} // namespace boragestand::ctl
