#include "coordination/running_flows.hpp"

namespace boragestand::coordination
{

namespace
{

// From 0, 11 idle flows in a row make slots_limit_flows() false.
constexpr double learning_rate = 1.0 / 16;

} // namespace

running_flows::running_flows(const running_limits& limits)
    : limits_(limits)
    , pool_(std::make_unique<std::pmr::unsynchronized_pool_resource>())
    , flows_(pool_.get())
{
}

void running_flows::start(std::uint64_t flow_hash, const running_flow& flow)
{
    flows_.insert_or_assign(flow_hash, flow);
}

std::optional<running_flow>
running_flows::record_progress(std::uint64_t flow_hash, upstream_id upstream,
                               bool is_long, time_point now)
{
    const auto [place, added] = flows_.try_emplace(flow_hash);
    running_flow& flow = place->second;
    if (added)
    {
        flow.upstream = upstream;
        flow.active_since = now;
        flow.is_long = is_long;
        flow.resumed = true;
    }
    flow.last_progress = now;
    flow.answered = true;
    if (flow.occupies_slot || now < flow.active_since + limits_.resume_limit)
    {
        return std::nullopt;
    }
    flow.occupies_slot = true;
    return flow;
}

std::optional<running_flow> running_flows::mark_long(std::uint64_t flow_hash)
{
    const auto found = flows_.find(flow_hash);
    if (found == flows_.end() || found->second.is_long)
    {
        return std::nullopt;
    }
    found->second.is_long = true;
    if (!found->second.occupies_slot)
    {
        return std::nullopt;
    }
    return found->second;
}

std::optional<running_flow> running_flows::end(std::uint64_t flow_hash)
{
    const auto found = flows_.find(flow_hash);
    if (found == flows_.end())
    {
        return std::nullopt;
    }
    const running_flow flow = found->second;
    flows_.erase(found);
    update_idle_share(flow, false);
    if (!flow.occupies_slot)
    {
        return std::nullopt;
    }
    return flow;
}

std::vector<running_flow> running_flows::take_idle_flows(time_point now)
{
    std::vector<running_flow> idle;
    for (auto item = flows_.begin(); item != flows_.end();)
    {
        const running_flow& flow = item->second;
        const duration limit =
            flow.answered ? limits_.pause_limit : limits_.silent_limit;
        if (now < flow.last_progress + limit)
        {
            ++item;
            continue;
        }
        update_idle_share(flow, true);
        if (flow.occupies_slot)
        {
            idle.push_back(flow);
        }
        item = flows_.erase(item);
    }
    return idle;
}

void running_flows::update_idle_share(const running_flow& flow,
                                      bool became_idle)
{
    if (flow.resumed)
    {
        return;
    }
    const double outcome = became_idle ? 1.0 : 0.0;
    idle_share_ += (outcome - idle_share_) * learning_rate;
}

} // namespace boragestand::coordination
