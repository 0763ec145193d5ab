#include "traffic/link_scheduler.hpp"

#include "traffic/packet_arithmetic.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragestand::traffic
{

namespace
{

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

link_scheduler::link_scheduler(const link_settings& settings)
    : settings_(settings), rate_(settings.rate * settings.share)
{
}

link_outcome link_scheduler::offer(const link_packet& packet,
                                   const transport::outgoing_datagram& datagram,
                                   time_point now)
{
    if (rate_ <= 0)
    {
        return link_outcome::pass;
    }
    const packet_key key{packet.flow, packet.sequence, packet.data_size,
                         packet.fin};
    forget_departed(now);
    if (packet.data_size > 0 && is_copy(key))
    {
        ++counters_.copies;
        if (const auto flow = flows_.find(packet.flow); flow != flows_.end())
        {
            flow->second.last_packet = now;
        }
        return link_outcome::copy;
    }
    auto bulk_flow = flows_.end();
    if (packet.opens)
    {
        discard_former(packet.flow);
    }
    if (packet.data_size > 0 || packet.fin || packet.rst)
    {
        const auto flow = observe(packet, now);
        if (packet.rst)
        {
            discard_all(flow);
        }
        bulk_flow = is_bulk(packet, flow->second) ? flow : flows_.end();
    }
    const auto size = datagram.head.size() + datagram.body.size();
    if (is_empty() && is_free(now))
    {
        charge(size, now);
        return link_outcome::pass;
    }
    if (!make_room(size, bulk_flow, now))
    {
        ++counters_.overflows;
        return link_outcome::overflow;
    }
    enqueue(packet, bulk_flow, datagram, now);
    ++counters_.queued;
    return link_outcome::queued;
}

link_scheduler::flow_map::iterator
link_scheduler::observe(const link_packet& packet, time_point now)
{
    const auto [found, added] = flows_.try_emplace(packet.flow);
    auto& flow = found->second;
    const auto silent = now - flow.last_packet;
    if (added || (flow.waiting.empty() && silent >= settings_.request_gap))
    {
        flow.started = now;
    }
    const auto decayed =
        added ? 0.0
              : flow.recent_bytes -
                    to_seconds(silent) * rate_ * settings_.interactive_share;
    flow.recent_bytes =
        std::max(decayed, 0.0) + static_cast<double>(packet.data_size);
    flow.last_packet = now;
    flow.target_latency = packet.target_latency > duration(0)
                              ? packet.target_latency
                              : settings_.default_target_latency;
    flow.timeout = packet.timeout > duration(0) ? packet.timeout
                                                : settings_.default_timeout;
    return found;
}

// Packets of one flow stay in order, except for acknowledgements.
bool link_scheduler::is_bulk(const link_packet& packet,
                             const flow_state& flow) const
{
    return !packet.rst && (!flow.waiting.empty() ||
                           flow.recent_bytes > settings_.bulk_threshold);
}

bool link_scheduler::is_copy(const packet_key& key) const
{
    return waiting_keys_.contains(key) || departed_.contains(key);
}

void link_scheduler::forget_departed(time_point now)
{
    while (!departures_.empty() &&
           now - departures_.front().first >= settings_.copy_window)
    {
        const auto known = departed_.find(departures_.front().second);
        if (known != departed_.end() &&
            known->second == departures_.front().first)
        {
            departed_.erase(known);
        }
        departures_.pop_front();
    }
}

std::size_t link_scheduler::size_on_link(std::size_t size) const
{
    return size + settings_.datagram_overhead;
}

void link_scheduler::enqueue(const link_packet& packet,
                             flow_map::iterator bulk_flow,
                             const transport::outgoing_datagram& datagram,
                             time_point now)
{
    waiting_packet added{
        {packet.flow, packet.sequence, packet.data_size, packet.fin},
        {datagram.destination, {}},
        now};
    auto& bytes = added.datagram.bytes;
    bytes.reserve(datagram.head.size() + datagram.body.size());
    bytes.insert(bytes.end(), datagram.head.begin(), datagram.head.end());
    bytes.insert(bytes.end(), datagram.body.begin(), datagram.body.end());
    const auto size = size_on_link(bytes.size());
    queued_bytes_ += size;
    if (packet.data_size > 0)
    {
        waiting_keys_.insert(added.key);
    }
    if (bulk_flow == flows_.end())
    {
        urgent_[packet.priority].push_back(std::move(added));
        return;
    }
    auto& waiting = bulk_flow->second.waiting;
    if (waiting.empty())
    {
        waiting_flows_.push_back(bulk_flow);
    }
    waiting.push_back(std::move(added));
}

// Discards packets of less useful bulk flows until a packet of this size fits.
bool link_scheduler::make_room(std::size_t size, flow_map::iterator bulk_flow,
                               time_point now)
{
    const auto limit = rate_ * to_seconds(settings_.max_backlog);
    while (static_cast<double>(queued_bytes_ + size_on_link(size)) > limit)
    {
        const auto last = std::max_element(
            waiting_flows_.begin(), waiting_flows_.end(),
            [&](const auto& left, const auto& right)
            { return precedes(left->second, right->second, now); });
        if (last == waiting_flows_.end())
        {
            return false;
        }
        if (bulk_flow != flows_.end() &&
            !precedes(bulk_flow->second, (*last)->second, now))
        {
            return false;
        }
        ++counters_.overflows;
        discard_last(*last);
    }
    return true;
}

void link_scheduler::discard_last(flow_map::iterator flow)
{
    auto& waiting = flow->second.waiting;
    const auto size = size_on_link(waiting.back().datagram.bytes.size());
    queued_bytes_ -= size;
    waiting_keys_.erase(waiting.back().key);
    waiting.pop_back();
    if (waiting.empty())
    {
        std::erase(waiting_flows_, flow);
    }
}

void link_scheduler::discard_all(flow_map::iterator flow)
{
    while (!flow->second.waiting.empty())
    {
        discard_last(flow);
    }
}

// Packets of a former flow between the same ends would reach the new one.
void link_scheduler::discard_former(const token_flow& ends)
{
    const auto former = flows_.find(ends);
    if (former != flows_.end())
    {
        discard_all(former);
        flows_.erase(former);
    }
    for (auto& [priority, queue] : urgent_)
    {
        std::erase_if(queue,
                      [&](const waiting_packet& each)
                      {
                          if (each.key.flow != ends)
                          {
                              return false;
                          }
                          queued_bytes_ -=
                              size_on_link(each.datagram.bytes.size());
                          waiting_keys_.erase(each.key);
                          return true;
                      });
    }
}

link_scheduler::flow_rank link_scheduler::rank(const flow_state& flow,
                                               time_point now) const
{
    const auto age = now - flow.started;
    if (age < flow.target_latency)
    {
        return flow_rank::in_time;
    }
    return age < flow.timeout ? flow_rank::late : flow_rank::given_up;
}

bool link_scheduler::precedes(const flow_state& left, const flow_state& right,
                              time_point now) const
{
    return std::pair(rank(left, now), left.started) <
           std::pair(rank(right, now), right.started);
}

std::optional<queued_datagram> link_scheduler::take(time_point now)
{
    return is_free(now) ? take_next(now) : std::nullopt;
}

std::optional<queued_datagram> link_scheduler::take_any(time_point now)
{
    return take_next(now);
}

std::optional<queued_datagram> link_scheduler::take_next(time_point now)
{
    for (auto& [priority, queue] : urgent_)
    {
        if (!queue.empty())
        {
            return release(queue, now);
        }
    }
    const auto first =
        std::min_element(waiting_flows_.begin(), waiting_flows_.end(),
                         [&](const auto& left, const auto& right) {
                             return precedes(left->second, right->second, now);
                         });
    if (first == waiting_flows_.end())
    {
        return std::nullopt;
    }
    auto& waiting = (*first)->second.waiting;
    auto datagram = release(waiting, now);
    if (waiting.empty())
    {
        waiting_flows_.erase(first);
    }
    return datagram;
}

queued_datagram link_scheduler::release(std::deque<waiting_packet>& queue,
                                        time_point now)
{
    auto packet = std::move(queue.front());
    queue.pop_front();
    const auto size = packet.datagram.bytes.size();
    queued_bytes_ -= size_on_link(size);
    charge(size, now);
    waits_.add(now - packet.since);
    if (packet.key.data_size > 0)
    {
        waiting_keys_.erase(packet.key);
        departed_[packet.key] = now;
        departures_.emplace_back(now, packet.key);
    }
    return std::move(packet.datagram);
}

void link_scheduler::charge(std::size_t size, time_point now)
{
    const auto bytes = static_cast<double>(size_on_link(size));
    busy_until_ = std::max(busy_until_, now) + to_duration(bytes / rate_);
}

bool link_scheduler::is_free(time_point now) const
{
    return busy_until_ - now < settings_.release_ahead;
}

// Several packets are released at once, so that a full link wakes the process
// less often.
std::optional<time_point> link_scheduler::next_release() const
{
    if (is_empty())
    {
        return std::nullopt;
    }
    return busy_until_ - settings_.release_ahead / 2;
}

// A caller that still waits for acknowledgements sends again within idle_limit.
void link_scheduler::sweep(time_point now)
{
    forget_departed(now);
    for (auto it = flows_.begin(); it != flows_.end();)
    {
        if (now - it->second.last_packet < settings_.idle_limit)
        {
            ++it;
            continue;
        }
        discard_all(it);
        it = flows_.erase(it);
    }
}

} // namespace boragestand::traffic
