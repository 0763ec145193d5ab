#include "fleet/control_node.hpp"

#include "fleet/fleet_times.hpp"

#include <filesystem>

namespace boragestand::fleet
{

// One removal at a time, and only while all other members answer, so that the
// group stays large enough to tolerate the required number of failures.
void control_node::remove_silent_member(time_point now)
{
    const auto& node = runner_->node();
    if (node.last_group_index() != group_index_)
    {
        group_index_ = node.last_group_index();
        group_changed_ = now;
    }
    if (removal_pending_ || !runner_->is_leader())
    {
        return;
    }
    const auto silent = agreement::member_to_remove(
        node.group(), node.silences(now), replaced_member_silence);
    if (!silent)
    {
        return;
    }
    const bool has_successor =
        group_index_ > 0 &&
        silent->silence + successor_delay >= now - group_changed_;
    if (!has_successor && silent->silence < lost_member_silence)
    {
        return;
    }
    removal_pending_ = true;
    log_.member_removed(silent->id, silent->silence);
    runner_->change(agreement::remove_replica{silent->id},
                    [this](const result<std::uint64_t>& outcome)
                    {
                        removal_pending_ = false;
                        if (!outcome)
                        {
                            log_.request_failed("remove", outcome.error());
                        }
                    });
}

// A retired identity never returns: the instance joins again as a new one.
void control_node::discard_identity()
{
    log_.identity_retired(runner_->node().self());
    std::error_code fault;
    for (const auto& file : std::filesystem::directory_iterator(
             settings_.data_directory + "/replica", fault))
    {
        std::filesystem::remove(file.path(), fault);
    }
    stop_(fault ? std::optional(
                      error{error_kind::storage_failure, fault.message()})
                : std::nullopt);
}

} // namespace boragestand::fleet
