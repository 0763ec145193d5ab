#include "commands.hpp"

#include "entry_progress.hpp"

#include <algorithm>

namespace boragestand::ctl
{

namespace
{

using nlohmann::json;

error error_of_answer(const group_answer& answer)
{
    return answer.response ? state::parse_error(*answer.response)
                           : answer.response.error();
}

std::string line_of(const state::control_status& status)
{
    return "control " + std::to_string(status.instance.value) + ": " +
           status.role + ", term " + std::to_string(status.term) +
           ", committed " + std::to_string(status.commit_index) + ", applied " +
           std::to_string(status.applied_index) + ", revision " +
           std::to_string(status.revision) + ", newest note " +
           std::to_string(status.note_number) + "\n";
}

std::string members_text(const state::control_status& status)
{
    std::string text;
    for (const state::status_member& member : status.members)
    {
        text += "member " + std::to_string(member.id.value) + ": " +
                member.http + (member.voter ? ", voter\n" : ", learner\n");
    }
    return text;
}

/// The status of the leader, or of the instance that has applied most.
const state::control_status&
best_of(const std::vector<state::control_status>& statuses)
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
    // The first answers name instances that were not given.
    view_of(group);
    const group_view view = view_of(group);
    command_report report;
    report.json = {{"control", json::array()},
                   {"unreachable", json::array()},
                   {"entries", json_of(view.entries)}};
    for (const state::control_status& status : view.statuses)
    {
        report.text += line_of(status);
        report.json["control"].push_back(state::to_json(status));
    }
    for (const group_answer& answer : view.failures)
    {
        const error fault = error_of_answer(answer);
        report.text += "control at " + transport::to_string(answer.from) +
                       " does not answer: " + fault.message + "\n";
        report.json["unreachable"].push_back(
            {{"http", transport::to_string(answer.from)},
             {"message", fault.message}});
    }
    if (view.statuses.empty())
    {
        report.exit_status =
            get_error_info(error_kind::unavailable).exit_status;
        return report;
    }
    const state::control_status& best = best_of(view.statuses);
    report.text += members_text(best);
    for (const state::status_entry& entry : view.entries)
    {
        report.text += "entry " + std::to_string(entry.id.value) + " " +
                       entry.name + ": " + progress_text(entry) + "\n";
    }
    if (best.role != "leader")
    {
        report.text += "no leader answers; notes cannot be accepted now\n";
        report.exit_status = get_error_info(error_kind::no_quorum).exit_status;
    }
    return report;
}

} // namespace boragestand::ctl
