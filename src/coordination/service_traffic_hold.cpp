#include "coordination/service_traffic.hpp"

// Held flows of a service: release, expiry and requests to the director.

namespace boragestand::coordination
{

namespace
{

// The director is requested once a flow has waited for the hold limit divided
// by this.
constexpr int overload_wait_divisor = 2;

} // namespace

void service_traffic::poll(const clock_reading& clock,
                           std::vector<hold_outcome>& outcomes)
{
    clock_ = clock;
    advance(clock.now);
    expire_held_flows(outcomes, clock.now);
    while (!queue_.empty() && release_one(outcomes, clock.now))
    {
    }
    const duration limit = std::chrono::milliseconds(definition_.hold_limit_ms);
    if (queue_.longest_wait(clock.now) > limit / overload_wait_divisor)
    {
        report_overload("flows wait too long", clock.now);
    }
}

void service_traffic::expire_held_flows(std::vector<hold_outcome>& outcomes,
                                        time_point now)
{
    while (const auto flow = queue_.take_expired(now))
    {
        if (flow->share == 0)
        {
            report_overload("no slot within the hold limit", now);
        }
        outcomes.push_back({flow->arrival.ticket, flow->arrival.flow_hash, id_,
                            decide_expired(*flow, now),
                            now - flow->queued_since});
    }
}

admission service_traffic::decide_expired(const queued_flow& flow,
                                          time_point now)
{
    const state::rule* share = rules_.share_rule(flow.share);
    const std::string covered = share == nullptr ? std::string() : share->name;
    const auto agreement = refusals_.acquire(covered, now, clock_.wall_at(now));
    if (agreement)
    {
        return refused{*agreement};
    }
    return dropped{drop_reason::hold_expired};
}

bool service_traffic::release_one(std::vector<hold_outcome>& outcomes,
                                  time_point now)
{
    for (const queued_flow& flow : queue_.lane_heads(now))
    {
        const auto chosen = place(flow.arrival, flow.share, now);
        if (!chosen)
        {
            continue;
        }
        queue_.cancel(flow.arrival.ticket);
        outcomes.push_back({flow.arrival.ticket, flow.arrival.flow_hash, id_,
                            *chosen, now - flow.queued_since});
        return true;
    }
    return false;
}

void service_traffic::report_overload(const char* reason, time_point now)
{
    const bool was_open = episode_.is_open();
    episode_.record_overload(reason, now, clock_.wall_at(now));
    if (!was_open)
    {
        events_.push_back({"director_episode_started", id_, {}, reason});
    }
}

} // namespace boragestand::coordination
