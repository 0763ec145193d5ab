#include "commands.hpp"

#include "entry_progress.hpp"
#include "settings/settings.hpp"

namespace boragestand::ctl
{

namespace
{

using nlohmann::json;

/// Exit status for a note that is accepted, but not in effect everywhere. It is
/// below the statuses of error kinds, which start at 2, because those do not
/// imply that the note was accepted.
constexpr int partly_in_effect_status = 1;

std::string join_names(const std::vector<state::status_entry>& entries)
{
    std::string text;
    for (const state::status_entry& entry : entries)
    {
        text += (text.empty() ? "" : ", ") + entry.name;
    }
    return text;
}

/// Adds the entry instances that have the note and those that do not.
void add_coverage(const revision_coverage& coverage, command_report& report)
{
    report.json["in_effect"] = entries_to_json(coverage.in_effect);
    report.json["not_reached"] = entries_to_json(coverage.not_reached);
    const std::size_t all =
        coverage.in_effect.size() + coverage.not_reached.size();
    report.text += "in effect at " + std::to_string(coverage.in_effect.size()) +
                   " of " + std::to_string(all) + " entry instances";
    report.text += coverage.in_effect.empty()
                       ? "\n"
                       : ": " + join_names(coverage.in_effect) + "\n";
    for (const state::status_entry& entry : coverage.not_reached)
    {
        report.text += "not reached: " + entry.name + " (" +
                       format_progress(entry) + ")\n";
    }
    if (all == 0)
    {
        report.text += "no control instance lists the entry instances\n";
    }
    if (all == 0 || !coverage.not_reached.empty())
    {
        report.exit_status = partly_in_effect_status;
    }
}

} // namespace

command_report run_submit(const invocation& call, control_group& group)
{
    const std::string& file = call.arguments.front();
    const auto text = settings::read_text_file(file, state::max_note_size);
    if (!text)
    {
        return make_error_report(text.error());
    }
    const auto response = group.ask_leader(
        state::to_http(state::submit_note{*text}, call.identity));
    if (!response || !is_success(*response))
    {
        return make_command_error_report(response, file, call.identity);
    }
    command_report report;
    report.json = parse_body(*response);
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
    add_coverage(wait_until_in_effect(revision, group), report);
    return report;
}

} // namespace boragestand::ctl
