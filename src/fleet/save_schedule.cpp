#include "fleet/save_schedule.hpp"

#include "fleet/fleet_times.hpp"

#include <algorithm>

namespace boragestand::fleet
{

namespace
{

// The process waits for the disk during a save. The pause after a save is at
// least this many times as long.
constexpr int min_pause_factor = 20;
constexpr duration longest_pause = std::chrono::seconds(10);

} // namespace

bool save_schedule::is_due(const directory_position& position,
                           time_point now) const
{
    auto interval = duration::max();
    if (position.cursor != saved_.cursor)
    {
        interval = registry_save_interval;
    }
    if (position.plan_version > saved_.plan_version)
    {
        interval = plan_save_interval;
    }
    if (position.leave_cursor != saved_.leave_cursor ||
        position.evacuation_index > saved_.evacuation_index)
    {
        interval = leave_save_interval;
    }
    if (interval == duration::max())
    {
        return false;
    }
    if (failed_)
    {
        interval = std::max(interval, plan_save_interval);
    }
    const duration pause = min_pause_factor * last_duration_;
    interval = std::max(interval, std::min(pause, longest_pause));
    return now - last_attempt_ >= interval;
}

void save_schedule::record(const directory_position& position, bool succeeded,
                           duration taken, time_point now)
{
    last_attempt_ = now;
    last_duration_ = taken;
    failed_ = !succeeded;
    if (succeeded)
    {
        saved_ = position;
    }
}

} // namespace boragestand::fleet
