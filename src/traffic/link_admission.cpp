#include "traffic/link_admission.hpp"

#include "traffic/packet_arithmetic.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace boragestand::traffic
{

namespace
{

// Weight of a new size against those learned before.
constexpr double size_smoothing = 0.1;

// A flow that has sent more than was expected still sends this part of it:
// sizes vary.
constexpr double smallest_rest = 0.25;

// Short requests are averaged over about this time in seconds.
constexpr double short_average_time = 1.0;

// Bulk gets this part of the link at least: short requests that leave less come
// as a burst.
constexpr double smallest_bulk_part = 0.2;

// A caller may hold this many times its equal part of a full link.
constexpr double caller_factor = 1.5;

// Callers are compared once new flows would take more than this part of their
// time.
constexpr double full_link_part = 0.5;

duration from_seconds(double seconds)
{
    constexpr double longest = 3600;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, longest)));
}

} // namespace

std::string_view to_text(admission_cause cause)
{
    switch (cause)
    {
    case admission_cause::admitted:
        return "admitted";
    case admission_cause::link_committed:
        return "link_committed";
    case admission_cause::caller_share:
        return "caller_share";
    case admission_cause::processor_behind:
        break;
    }
    return "processor_behind";
}

std::size_t
link_admission::flow_hash::operator()(const token_flow& flow) const noexcept
{
    const auto caller =
        std::uint64_t{flow.caller.address} << 16 | flow.caller.port;
    const auto destination =
        std::uint64_t{flow.destination.address} << 16 | flow.destination.port;
    return mix_hashes(caller, destination);
}

link_admission::link_admission(const admission_settings& settings)
    : settings_(settings)
{
}

double link_admission::remaining(const flow_state& flow, time_point now) const
{
    if (flow.expected == 0 || now - flow.last_packet >= settings_.idle_limit)
    {
        return 0;
    }
    return std::max(flow.expected - flow.sent, smallest_rest * flow.expected);
}

double link_admission::committed_bytes(time_point now) const
{
    double total = 0;
    for (const auto& [flow, state] : flows_)
    {
        total += remaining(state, now);
    }
    return total;
}

double link_admission::bulk_rate(time_point now) const
{
    const double passed = to_seconds(now - short_counted_);
    const double short_rate =
        short_rate_ * std::exp(-passed / short_average_time);
    return std::max(settings_.rate - short_rate,
                    smallest_bulk_part * settings_.rate);
}

bool link_admission::is_behind(time_point now) const
{
    return behind_at_ && now - *behind_at_ < settings_.behind_memory;
}

void link_admission::report_lag(duration lag, time_point now)
{
    if (lag >= settings_.behind_limit)
    {
        behind_at_ = now;
    }
}

bool link_admission::holds_too_much(const token_flow& flow,
                                    time_point now) const
{
    double total = 0;
    double own = 0;
    std::set<std::uint32_t> callers{flow.caller.address};
    for (const auto& [each, state] : flows_)
    {
        const double rest = remaining(state, now);
        if (rest > 0)
        {
            total += rest;
            own += each.caller.address == flow.caller.address ? rest : 0;
            callers.insert(each.caller.address);
        }
    }
    const double part = total / static_cast<double>(callers.size());
    return callers.size() > 1 && own > caller_factor * part;
}

admission link_admission::decide(const token_flow& flow, double expected,
                                 duration limit, time_point now) const
{
    admission decision;
    decision.expected_bytes = expected;
    decision.limit = limit;
    decision.committed_bytes = committed_bytes(now);
    decision.finish =
        from_seconds((decision.committed_bytes + expected) / bulk_rate(now));
    if (decision.committed_bytes == 0)
    {
        return decision;
    }
    if (is_behind(now))
    {
        decision.cause = admission_cause::processor_behind;
    }
    else if (decision.finish > limit)
    {
        decision.cause = admission_cause::link_committed;
    }
    else if (to_seconds(decision.finish) > full_link_part * to_seconds(limit) &&
             holds_too_much(flow, now))
    {
        decision.cause = admission_cause::caller_share;
    }
    return decision;
}

admission link_admission::ask(const token_packet& syn,
                              const state::service_route& route, time_point now)
{
    // An upstream may have answered an earlier copy of a repeated SYN, which
    // may have passed another instance; a reset would end an open flow.
    if (settings_.rate <= 0 || syn.repeated)
    {
        return {};
    }
    const auto known = flows_.find(syn.flow);
    if (known != flows_.end() && known->second.sequence == syn.sequence)
    {
        known->second.last_packet = now;
        return {};
    }
    const auto learned = sizes_.find(syn.flow.destination);
    const bool bulk = learned != sizes_.end() && learned->second.known &&
                      learned->second.mean > settings_.bulk_size;
    admission decision;
    if (bulk)
    {
        const duration limit =
            route.target_latency_ms > 0
                ? std::chrono::milliseconds(route.target_latency_ms)
                : settings_.default_target_latency;
        decision = decide(syn.flow, learned->second.mean, limit, now);
    }
    if (!decision.is_admitted())
    {
        ++refused_[static_cast<std::size_t>(decision.cause)];
        return decision;
    }
    admitted_bulk_ += bulk ? 1 : 0;
    if (flows_.size() < settings_.max_flows)
    {
        flow_state added;
        added.sequence = syn.sequence;
        added.expected = bulk ? decision.expected_bytes : 0;
        added.last_packet = now;
        flows_[syn.flow] = added;
    }
    return decision;
}

void link_admission::follow(const token_packet& packet, time_point now)
{
    if (settings_.rate <= 0 || packet.syn)
    {
        return;
    }
    const auto found = flows_.find(packet.flow);
    if (found == flows_.end())
    {
        return;
    }
    auto& flow = found->second;
    const bool pause = now - flow.last_packet >= settings_.request_gap;
    flow.last_packet = now;
    const auto end = packet.sequence + packet.data_size;
    const bool has_new_data =
        packet.data_size > 0 && (!flow.end || is_after(end, *flow.end));
    if (has_new_data)
    {
        // A stall is no end: the upstream has answered in between.
        const bool answered = packet.acknowledged != flow.acknowledged;
        if (pause && answered && flow.sent > 0)
        {
            learn(packet.flow.destination, flow.sent);
            flow.sent = 0;
        }
        if (flow.sent == 0)
        {
            flow.acknowledged = packet.acknowledged;
        }
        flow.end = end;
        const double bytes = packet.data_size + settings_.packet_overhead;
        flow.sent += bytes;
        if (flow.expected == 0)
        {
            count_short(bytes, now);
        }
    }
    if (packet.fin || packet.rst)
    {
        // A reset request shows no size.
        if (packet.fin && flow.sent > 0)
        {
            learn(packet.flow.destination, flow.sent);
        }
        flows_.erase(found);
    }
}

void link_admission::count_short(double bytes, time_point now)
{
    const double passed = to_seconds(now - short_counted_);
    short_rate_ = short_rate_ * std::exp(-passed / short_average_time) +
                  bytes / short_average_time;
    short_counted_ = now;
}

void link_admission::learn(const transport::endpoint& destination, double size)
{
    auto& learned = sizes_[destination];
    learned.mean = learned.known
                       ? learned.mean + size_smoothing * (size - learned.mean)
                       : size;
    learned.known = true;
}

void link_admission::sweep(time_point now)
{
    std::erase_if(
        flows_, [&](const auto& each)
        { return now - each.second.last_packet >= settings_.flow_lifetime; });
}

} // namespace boragestand::traffic
