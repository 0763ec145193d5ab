#pragma once

#include "base/metrics_text.hpp"
#include "fleet/fleet_log.hpp"

#include <functional>
#include <map>

namespace boragestand::fleet
{

/// Leaves of upstreams that wait until a majority of the group has received
/// them, so that the loss of one instance cannot undo an acknowledged leave.
class leave_confirmations
{
public:
    using done_callback = std::function<void(result<void>)>;

    /// known_to_majority tells whether a majority has acknowledged a cursor of
    /// the registry.
    leave_confirmations(
        transport::timer_service& timers, fleet_log& log,
        std::function<bool(std::uint64_t)> is_acknowledged_by_majority);

    /// Adds a leave that changed the registry at a cursor. The callback runs
    /// once, with error_kind::no_quorum after leave_confirmation.
    void add(std::uint64_t upstream, std::uint64_t sequence,
             std::uint64_t cursor, done_callback callback);

    /// Answers the leaves that a majority has acknowledged by now.
    void answer_acknowledged();

    /// Times from a leave to its answer.
    const duration_histogram& answer_times() const { return answer_times_; }

private:
    struct pending_leave
    {
        std::uint64_t upstream;
        std::uint64_t sequence;
        std::uint64_t cursor;
        time_point started;
        done_callback callback;
        transport::subscription timeout;
    };

    void finish(std::uint64_t id, bool confirmed);

    transport::timer_service& timers_;
    fleet_log& log_;
    std::function<bool(std::uint64_t)> is_acknowledged_by_majority_;
    std::map<std::uint64_t, pending_leave> pending_;
    std::uint64_t next_id_{1};
    duration_histogram answer_times_;
};

} // namespace boragestand::fleet
