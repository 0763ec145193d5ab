#include "coordination/load_view.hpp"

#include <algorithm>
#include <limits>

namespace boragestand::coordination
{

namespace
{

std::uint16_t narrowed(std::uint32_t count)
{
    constexpr std::uint32_t most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(count, most));
}

// Stops at 0, since lost events can leave a count too low.
void decrement(std::uint32_t& count)
{
    count -= count > 0 ? 1 : 0;
}

std::uint32_t growth(std::uint32_t now, std::uint32_t before)
{
    return now > before ? now - before : 0;
}

} // namespace

void load_view::add_open_flow(upstream_id upstream)
{
    ++own_[upstream].current.open;
}

void load_view::remove_open_flow(upstream_id upstream)
{
    decrement(own_[upstream].current.open);
}

void load_view::add_running_flow(upstream_id upstream, bool is_long)
{
    own_load& own = own_[upstream];
    ++own.current.running;
    own.current.long_work += is_long ? 1 : 0;
}

void load_view::remove_running_flow(upstream_id upstream, bool is_long)
{
    own_load& own = own_[upstream];
    decrement(own.current.running);
    if (is_long)
    {
        decrement(own.current.long_work);
    }
}

void load_view::mark_long(upstream_id upstream)
{
    ++own_[upstream].current.long_work;
}

void load_view::apply(instance_id from,
                      std::vector<protocol::upstream_load> loads,
                      time_point now)
{
    peers_[from] = {now, std::move(loads)};
    sum_peers();
}

void load_view::remove_report(instance_id instance)
{
    if (peers_.erase(instance) > 0)
    {
        sum_peers();
    }
}

void load_view::advance(time_point now)
{
    const auto dropped = std::erase_if(
        peers_, [now](const auto& item)
        { return item.second.received_at + report_age_limit <= now; });
    if (dropped > 0)
    {
        sum_peers();
    }
}

estimated_load load_view::estimate(upstream_id upstream) const
{
    estimated_load load;
    const auto others = peer_sums_.find(upstream);
    if (others != peer_sums_.end())
    {
        load = others->second;
    }
    const auto found = own_.find(upstream);
    if (found == own_.end())
    {
        return load;
    }
    const own_load& own = found->second;
    const auto peers = static_cast<std::uint32_t>(peers_.size());
    load.open += own.current.open;
    load.running +=
        own.current.running + peers * growth(own.current.running, own.reported);
    load.long_work += own.current.long_work;
    return load;
}

void load_view::add_to_report(service_id service, protocol::load_report& report)
{
    std::erase_if(own_, [](const auto& item)
                  { return item.second.current == estimated_load{}; });
    for (auto& [upstream, load] : own_)
    {
        load.reported = load.current.running;
        report.loads.push_back({service, upstream, load.current.open,
                                narrowed(load.current.running),
                                narrowed(load.current.long_work)});
    }
}

bool load_view::may_fill_with_long(upstream_id upstream) const
{
    const auto score = [upstream](instance_id owner)
    {
        return mix_hashes(upstream.value, owner.value);
    };
    return std::none_of(peers_.begin(), peers_.end(),
                        [&](const auto& item)
                        { return score(item.first) > score(self_); });
}

void load_view::sum_peers()
{
    peer_sums_.clear();
    for (const auto& [instance, peer] : peers_)
    {
        for (const protocol::upstream_load& load : peer.loads)
        {
            estimated_load& sum = peer_sums_[load.upstream];
            sum.open += load.open;
            sum.running += load.running;
            sum.long_work += load.long_work;
        }
    }
}

} // namespace boragestand::coordination
