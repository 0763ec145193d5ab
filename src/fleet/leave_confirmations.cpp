#include "fleet/leave_confirmations.hpp"

#include "fleet/fleet_times.hpp"

#include <utility>
#include <vector>

namespace boragestand::fleet
{

leave_confirmations::leave_confirmations(
    transport::timer_service& timers, fleet_log& log,
    std::function<bool(std::uint64_t)> is_acknowledged_by_majority)
    : timers_(timers)
    , log_(log)
    , is_acknowledged_by_majority_(std::move(is_acknowledged_by_majority))
{
}

void leave_confirmations::add(std::uint64_t upstream, std::uint64_t sequence,
                              std::uint64_t cursor, done_callback callback)
{
    const auto id = next_id_++;
    pending_.emplace(id, pending_leave{upstream, sequence, cursor,
                                       timers_.now(), std::move(callback),
                                       timers_.after(leave_confirmation,
                                                     [this, id](time_point)
                                                     { finish(id, false); })});
    if (is_acknowledged_by_majority_(cursor))
    {
        finish(id, true);
    }
}

void leave_confirmations::answer_acknowledged()
{
    std::vector<std::uint64_t> confirmed;
    for (const auto& [id, leave] : pending_)
    {
        if (is_acknowledged_by_majority_(leave.cursor))
        {
            confirmed.push_back(id);
        }
    }
    for (const auto id : confirmed)
    {
        finish(id, true);
    }
}

void leave_confirmations::finish(std::uint64_t id, bool confirmed)
{
    auto done = pending_.extract(id);
    if (!done)
    {
        return;
    }
    auto& leave = done.mapped();
    const auto taken = timers_.now() - leave.started;
    answer_times_.add(taken);
    log_.leave_answered(leave.upstream, leave.sequence, confirmed, taken);
    leave.callback(confirmed ? result<void>{}
                             : failure(error_kind::no_quorum,
                                       "no majority has confirmed the leave"));
}

} // namespace boragestand::fleet
