#pragma once

#include "control_group.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragestand::ctl
{

/// Merged status of the reachable control instances.
struct group_status
{
    std::vector<state::control_status> statuses;
    std::vector<group_answer> failures; ///< instances without a status
    /// Each entry instance with its newest report to any control instance.
    std::vector<state::status_entry> entries;
};

/// Requests the status of all control instances and adds the members that they
/// name to the group.
group_status fetch_group_status(control_group& group);

/// Entry instances that have, or have not, reported a revision.
struct revision_coverage
{
    std::vector<state::status_entry> in_effect;
    std::vector<state::status_entry> not_reached;
};

/// Splits entry instances by whether they have reported at least this revision.
revision_coverage
split_by_revision(std::uint64_t revision,
                  const std::vector<state::status_entry>& entries);

/// Waits until a revision is in effect at all entry instances, or until the
/// command timeout.
revision_coverage wait_until_in_effect(std::uint64_t revision,
                                       control_group& group);

/// Formats an entry as "revision 11, last report 3.2 s ago" or "never
/// reported".
std::string format_progress(const state::status_entry& entry);

/// Converts entries to JSON in the form of the control status.
nlohmann::json entries_to_json(const std::vector<state::status_entry>& entries);

} // namespace boragestand::ctl
