#include "coordination/service_traffic.hpp"

#include <algorithm>
#include <iterator>

namespace boragestand::coordination
{

service_traffic::service_traffic(service_id id) : id_(id) {}

void service_traffic::apply(const state::configuration& configuration,
                            time_point now)
{
    const state::service* found = configuration.find_service(id_);
    configured_ = found != nullptr;
    if (found != nullptr)
    {
        definition_ = *found;
    }
    std::vector<state::upstream_override> overrides;
    std::copy_if(configuration.overrides.begin(), configuration.overrides.end(),
                 std::back_inserter(overrides),
                 [this](const state::upstream_override& candidate)
                 { return candidate.service == id_; });
    directory_.apply(std::move(overrides));
    refresh(now);
}

bool service_traffic::apply(const protocol::upstream_record& record,
                            time_point now)
{
    if (!directory_.apply(record, now))
    {
        return false;
    }
    refresh(now);
    return true;
}

admission service_traffic::admit(const flow_arrival& arrival, time_point now)
{
    if (!configured_)
    {
        return dropped{drop_reason::unknown_service};
    }
    advance(now);
    const auto choice = rendezvous_choice(active_, arrival.flow_hash);
    if (!choice)
    {
        return dropped{drop_reason::no_upstream};
    }
    return placed{*choice, directory_.find(*choice)->address,
                  placement_reason::default_choice};
}

void service_traffic::advance(time_point now)
{
    if (now < next_change_)
    {
        return;
    }
    directory_.forget_old(now);
    refresh(now);
}

std::span<const protocol::settled_upstream> service_traffic::active_set() const
{
    return active_;
}

void service_traffic::refresh(time_point now)
{
    active_.clear();
    for (const ready_upstream& candidate : directory_.ready(now))
    {
        active_.push_back({candidate.record->upstream, candidate.weight});
    }
    next_change_ = directory_.next_change(now);
}

} // namespace boragestand::coordination
