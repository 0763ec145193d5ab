#pragma once

#include "control_group.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragestand::ctl
{

/// What the reachable control instances know together.
struct group_view
{
    std::vector<state::control_status> statuses;
    std::vector<group_answer> failures; ///< instances without a status
    /// Each entry instance with its newest report to any control instance.
    std::vector<state::status_entry> entries;
};

/// Asks all control instances for their status and learns of others.
group_view view_of(control_group& group);

/// Where a revision is in effect.
struct reach
{
    std::vector<state::status_entry> in_effect;
    std::vector<state::status_entry> missing;
};

/// Splits entry instances by whether they have reported the revision.
reach reach_of(std::uint64_t revision,
               const std::vector<state::status_entry>& entries);

/// Waits until a revision is in effect at all entry instances, or the time of
/// the command is over.
reach wait_until_in_effect(std::uint64_t revision, control_group& group);

/// "revision 11, last report 3.2 s ago", or "never reported".
std::string progress_text(const state::status_entry& entry);

/// The entries as JSON, as in the status of a control instance.
nlohmann::json json_of(const std::vector<state::status_entry>& entries);

} // namespace boragestand::ctl
