#include "coordination/hold_queue.hpp"

#include <algorithm>
#include <tuple>

namespace boragestand::coordination
{

namespace
{

bool is_long(const queued_flow& flow)
{
    return flow.arrival.work == protocol::request_class::long_work;
}

} // namespace

hold_queue::hold_queue(duration aging_limit) : aging_limit_(aging_limit) {}

bool hold_queue::push(const queued_flow& flow, std::size_t capacity)
{
    const std::uint64_t ticket = flow.arrival.ticket.value;
    if (positions_.size() >= capacity || positions_.contains(ticket))
    {
        return false;
    }
    const lane_key key{is_long(flow), flow.share};
    lane& waiting = lanes_[key];
    waiting.push_back(flow);
    positions_.emplace(ticket, queue_position{key, std::prev(waiting.end())});
    deadlines_.emplace(flow.deadline, ticket);
    return true;
}

std::optional<queued_flow> hold_queue::cancel(hold_ticket ticket)
{
    const auto found = positions_.find(ticket.value);
    if (found == positions_.end())
    {
        return std::nullopt;
    }
    const queue_position where = found->second;
    const queued_flow flow = *where.position;
    deadlines_.erase({flow.deadline, ticket.value});
    const auto waiting = lanes_.find(where.key);
    waiting->second.erase(where.position);
    if (waiting->second.empty())
    {
        lanes_.erase(waiting);
    }
    positions_.erase(found);
    return flow;
}

std::vector<queued_flow> hold_queue::lane_heads(time_point now) const
{
    std::vector<queued_flow> found;
    for (const auto& [key, waiting] : lanes_)
    {
        found.push_back(waiting.front());
    }
    std::sort(found.begin(), found.end(),
              [this, now](const queued_flow& left, const queued_flow& right)
              { return precedes(left, right, now); });
    return found;
}

bool hold_queue::must_wait(bool is_long, std::uint16_t share,
                           time_point now) const
{
    return std::any_of(lanes_.begin(), lanes_.end(),
                       [&](const auto& item)
                       {
                           const auto& [key, waiting] = item;
                           if (key.share != 0 && key.share != share)
                           {
                               return false;
                           }
                           const bool aged =
                               waiting.front().queued_since + aging_limit_ <=
                               now;
                           return key.is_long <= is_long || aged;
                       });
}

std::optional<queued_flow> hold_queue::take_expired(time_point now)
{
    if (deadlines_.empty() || deadlines_.begin()->first > now)
    {
        return std::nullopt;
    }
    return cancel({deadlines_.begin()->second});
}

duration hold_queue::longest_wait(time_point now) const
{
    duration longest{0};
    for (const auto& [key, waiting] : lanes_)
    {
        if (key.share == 0)
        {
            longest = std::max(longest, now - waiting.front().queued_since);
        }
    }
    return longest;
}

bool hold_queue::precedes(const queued_flow& left, const queued_flow& right,
                          time_point now) const
{
    const auto rank = [this, now](const queued_flow& flow)
    {
        const bool aged = flow.queued_since + aging_limit_ <= now;
        return std::tuple(!aged, !aged && is_long(flow), flow.queued_since,
                          flow.arrival.ticket);
    };
    return rank(left) < rank(right);
}

} // namespace boragestand::coordination
