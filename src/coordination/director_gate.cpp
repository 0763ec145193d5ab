#include "coordination/director_gate.hpp"

namespace boragestand::coordination
{

director_gate::director_gate(instance_id self, service_id service)
    : self_(self), service_(service)
{
}

void director_gate::pressure(const char* reason, time_point now,
                             wall_time wall_now)
{
    last_pressure_ = now;
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

void director_gate::advance(time_point now)
{
    if (request_ && last_pressure_ + episode_quiet_time <= now)
    {
        request_.reset();
    }
}

std::optional<director_request> director_gate::due(time_point now)
{
    if (!request_ || acknowledged_ || now < next_send_)
    {
        return std::nullopt;
    }
    next_send_ = now + director_repeat;
    return request_;
}

void director_gate::acknowledged(std::uint64_t episode)
{
    if (request_ && request_->episode == episode)
    {
        acknowledged_ = true;
    }
}

} // namespace boragestand::coordination
