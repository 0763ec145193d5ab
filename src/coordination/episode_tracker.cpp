#include "coordination/episode_tracker.hpp"

namespace boragestand::coordination
{

episode_tracker::episode_tracker(instance_id self, service_id service)
    : self_(self), service_(service)
{
}

void episode_tracker::record_overload(const char* reason, time_point now,
                                      wall_time wall_now)
{
    last_overload_ = now;
    if (request_)
    {
        return;
    }
    // The identity includes the wall time, so that an episode after a restart
    // is not confused with one that was acknowledged before it.
    const auto started =
        static_cast<std::uint64_t>(wall_now.time_since_epoch().count());
    request_ =
        director_request{service_, mix_hashes(self_.value, started), reason};
    acknowledged_ = false;
    next_send_ = now;
}

void episode_tracker::advance(time_point now)
{
    if (request_ && last_overload_ + episode_quiet_time <= now)
    {
        request_.reset();
    }
}

std::optional<director_request> episode_tracker::due_request(time_point now)
{
    if (!request_ || acknowledged_ || now < next_send_)
    {
        return std::nullopt;
    }
    next_send_ = now + request_repeat_interval;
    return request_;
}

void episode_tracker::acknowledge(std::uint64_t episode)
{
    if (request_ && request_->episode == episode)
    {
        acknowledged_ = true;
    }
}

} // namespace boragestand::coordination
