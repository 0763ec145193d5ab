#include "commands.hpp"

#include "entry_progress.hpp"

#include <algorithm>

namespace boragestand::ctl
{

namespace
{

using nlohmann::json;

error error_of(const group_answer& answer)
{
    return answer.response ? state::parse_error(*answer.response)
                           : answer.response.error();
}

std::string format_status(const state::control_status& status)
{
    return "control " + std::to_string(status.instance.value) + ": " +
           status.role + ", term " + std::to_string(status.term) +
           ", committed " + std::to_string(status.commit_index) + ", applied " +
           std::to_string(status.applied_index) + ", revision " +
           std::to_string(status.revision) + ", newest note " +
           std::to_string(status.note_number) + "\n";
}

std::string format_members(const state::control_status& status)
{
    std::string text;
    for (const state::status_member& member : status.members)
    {
        text += "member " + std::to_string(member.id.value) + ": " +
                member.http + (member.voter ? ", voter\n" : ", learner\n");
    }
    return text;
}

/// Returns the status of the leader, else the one with the highest applied
/// index.
const state::control_status&
find_most_current(const std::vector<state::control_status>& statuses)
{
    return *std::max_element(
        statuses.begin(), statuses.end(),
        [](const state::control_status& left,
           const state::control_status& right)
        {
            return std::pair(left.role == "leader", left.applied_index) <
                   std::pair(right.role == "leader", right.applied_index);
        });
}

} // namespace

command_report run_status(const invocation&, control_group& group)
{
    // The first round adds members that are missing in --control.
    fetch_group_status(group);
    const group_status current = fetch_group_status(group);
    command_report report;
    report.json = {{"control", json::array()},
                   {"unreachable", json::array()},
                   {"entries", entries_to_json(current.entries)}};
    for (const state::control_status& status : current.statuses)
    {
        report.text += format_status(status);
        report.json["control"].push_back(state::to_json(status));
    }
    for (const group_answer& answer : current.failures)
    {
        const error fault = error_of(answer);
        report.text += "control at " + transport::to_string(answer.from) +
                       " does not answer: " + fault.message + "\n";
        report.json["unreachable"].push_back(
            {{"http", transport::to_string(answer.from)},
             {"message", fault.message}});
    }
    if (current.statuses.empty())
    {
        report.exit_status =
            error_info_for(error_kind::unavailable).exit_status;
        return report;
    }
    const state::control_status& best = find_most_current(current.statuses);
    report.text += format_members(best);
    for (const state::status_entry& entry : current.entries)
    {
        report.text += "entry " + std::to_string(entry.id.value) + " " +
                       entry.name + ": " + format_progress(entry) + "\n";
    }
    if (best.role != "leader")
    {
        report.text += "no leader answers; notes cannot be accepted now\n";
        report.exit_status = error_info_for(error_kind::no_quorum).exit_status;
    }
    return report;
}

} // namespace boragestand::ctl
