#include "fleet/control_node.hpp"

#include "fleet/fleet_times.hpp"

#include <filesystem>

namespace boragestand::fleet
{

// One removal at a time, so that each is decided on the group that the one
// before has left.
void control_node::remove_silent_member(time_point now)
{
    const auto& node = runner_->node();
    joins_.observe(node.group(), node.self(), now);
    if (removal_pending_ || !runner_->is_leader() || !node.is_in_contact(now))
    {
        return;
    }
    const auto losses =
        tolerated_losses(settings_.tolerance, node.group().voter_count());
    const agreement::removal_limits limits{
        lost_member_silence, replaced_member_silence, successor_delay,
        agreement::smallest_group_for(losses)};
    const auto silent = agreement::member_to_remove(
        node.group(), node.silences(now), joins_, limits, now);
    if (!silent)
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
