#pragma once

#include "base/base.hpp"

#include <compare>
#include <cstdint>

namespace boragestand::fleet
{

/// How far the directory has advanced.
struct directory_position
{
    std::uint64_t cursor{0};       ///< of the last change of an upstream
    std::uint64_t leave_cursor{0}; ///< of the last upstream that left
    std::uint64_t plan_version{0};
    std::uint64_t evacuation_index{0}; ///< of the newest evacuation

    auto operator<=>(const directory_position&) const = default;
};

/// Decides when a control instance saves its directory. A saved upstream that
/// has left meanwhile, or whose data centre was evacuated, would get flows
/// again after a restart of all instances, so leaves and evacuations are saved
/// almost at once; other upstreams send heartbeats. A save that fails is
/// repeated.
class save_schedule
{
public:
    /// Whether the directory should be saved now.
    bool is_due(const directory_position& position, time_point now) const;

    /// Records a save that began now.
    void record(const directory_position& position, bool succeeded,
                duration taken, time_point now);

    /// The directory on disk is at this position.
    void start_from(const directory_position& position) { saved_ = position; }

private:
    directory_position saved_;
    time_point last_attempt_{};
    duration last_duration_{0};
    bool failed_{false};
};

} // namespace boragestand::fleet
