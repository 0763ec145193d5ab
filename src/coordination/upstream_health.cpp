#include "coordination/upstream_health.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::coordination
{

namespace
{

constexpr unsigned handshakes_for_mean = 8;

} // namespace

upstream_health::upstream_health(service_id service,
                                 const health_limits& limits)
    : service_(service), limits_(limits)
{
}

void upstream_health::record(const flow_observation& observation,
                             time_point now)
{
    const auto found = known_.find(observation.upstream);
    if (found == known_.end())
    {
        return;
    }
    health_entry& known = found->second;
    rotate_window(known, now);
    if (const auto* made = std::get_if<flow_established>(&observation.event))
    {
        ++known.current.answered;
        ++known.trial_answers;
        known.current.handshake_sum += made->handshake_time;
        return;
    }
    const auto* ended = std::get_if<flow_ended>(&observation.event);
    if (std::holds_alternative<syn_repeated>(observation.event) ||
        (ended != nullptr && ended->end == flow_end::unanswered))
    {
        ++known.current.unanswered;
    }
}

void upstream_health::record(const endpoint_report& report, time_point now)
{
    const auto found = known_.find(report.upstream);
    if (found == known_.end())
    {
        return;
    }
    health_entry& known = found->second;
    rotate_window(known, now);
    const handshake_counts seen = recent_counts(known);
    const bool answers = seen.answered >= limits_.failures &&
                         seen.answered > 2 * seen.unanswered;
    if (!report.healthy && answers)
    {
        record_contradiction(report.upstream,
                             "endpoint reports unhealthy, flows are answered",
                             now);
        return;
    }
    if (report.healthy && is_failing(known, median_handshake()))
    {
        record_contradiction(report.upstream,
                             "endpoint reports healthy, flows fail", now);
        return;
    }
    known.endpoint_unhealthy = !report.healthy && known.distrusted_until <= now;
}

void upstream_health::record_load_contradiction(upstream_id upstream,
                                                time_point now)
{
    if (known_.contains(upstream))
    {
        record_contradiction(upstream, "endpoint load differs from open flows",
                             now);
    }
}

bool upstream_health::trusts_endpoints(upstream_id upstream,
                                       time_point now) const
{
    const auto found = known_.find(upstream);
    return found != known_.end() && found->second.distrusted_until <= now;
}

bool upstream_health::update(const std::vector<upstream_id>& ready,
                             time_point now)
{
    std::erase_if(known_,
                  [&ready](const auto& item) {
                      return !std::binary_search(ready.begin(), ready.end(),
                                                 item.first);
                  });
    bool changed = false;
    std::size_t ejected_count = 0;
    for (const upstream_id upstream : ready)
    {
        const auto [place, added] = known_.try_emplace(upstream);
        if (added)
        {
            place->second.window_start = now;
            place->second.good_since = now;
        }
        changed |= advance(upstream, place->second, now);
        ejected_count += place->second.status == health_status::ejected ? 1 : 0;
    }
    const std::size_t bound = ejection_bound(ready.size());
    for (; ejected_count > bound; --ejected_count)
    {
        restore_one();
        changed = true;
    }
    const duration median = median_handshake();
    for (auto& [upstream, known] : known_)
    {
        if (ejected_count >= bound || known.status == health_status::ejected ||
            !is_failing(known, median))
        {
            continue;
        }
        eject(upstream, known, now);
        ++ejected_count;
        changed = true;
    }
    return changed;
}

bool upstream_health::is_ejected(upstream_id upstream) const
{
    const auto found = known_.find(upstream);
    return found != known_.end() &&
           found->second.status == health_status::ejected;
}

bool upstream_health::is_on_trial(upstream_id upstream) const
{
    const auto found = known_.find(upstream);
    return found != known_.end() &&
           found->second.status == health_status::trial;
}

std::vector<traffic_event> upstream_health::take_events()
{
    return std::exchange(events_, {});
}

upstream_health::handshake_counts
upstream_health::recent_counts(const health_entry& known) const
{
    return {known.current.answered + known.previous.answered,
            known.current.unanswered + known.previous.unanswered,
            known.current.handshake_sum + known.previous.handshake_sum};
}

bool upstream_health::is_failing(const health_entry& known,
                                 duration median) const
{
    const handshake_counts seen = recent_counts(known);
    if (seen.unanswered >= limits_.failures && seen.unanswered > seen.answered)
    {
        return true;
    }
    // On trial, one failure is enough if it outnumbers the answers.
    if (known.status == health_status::trial && seen.unanswered > seen.answered)
    {
        return true;
    }
    if (known.endpoint_unhealthy && seen.answered == 0)
    {
        return true;
    }
    if (seen.answered < handshakes_for_mean)
    {
        return false;
    }
    const duration mean = seen.handshake_sum / seen.answered;
    return mean > limits_.slow_handshake &&
           mean > median * static_cast<int>(limits_.slow_factor);
}

duration upstream_health::median_handshake() const
{
    std::vector<duration> means;
    for (const auto& [upstream, known] : known_)
    {
        const handshake_counts seen = recent_counts(known);
        if (seen.answered > 0)
        {
            means.push_back(seen.handshake_sum / seen.answered);
        }
    }
    if (means.empty())
    {
        return duration(0);
    }
    const auto middle = means.begin() + (means.size() - 1) / 2;
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

void upstream_health::rotate_window(health_entry& known, time_point now) const
{
    if (now < known.window_start + limits_.window)
    {
        return;
    }
    const bool adjacent = now < known.window_start + 2 * limits_.window;
    known.previous = adjacent ? known.current : handshake_counts{};
    known.current = {};
    known.window_start = now;
}

void upstream_health::record_contradiction(upstream_id upstream,
                                           const char* what, time_point now)
{
    ++contradictions_;
    health_entry& known = known_[upstream];
    known.endpoint_unhealthy = false;
    // Logged once per period of distrust, so that a wrong endpoint cannot flood
    // the log.
    if (known.distrusted_until <= now)
    {
        add_event("endpoint_distrusted", upstream, what);
    }
    known.distrusted_until = now + limits_.distrust;
}

void upstream_health::eject(upstream_id upstream, health_entry& known,
                            time_point now)
{
    // After longest_back_off without a failure the back-off starts over.
    const bool relapse = known.status == health_status::trial ||
                         (known.back_off > duration(0) &&
                          now < known.good_since + limits_.longest_back_off);
    known.back_off =
        relapse ? std::min(known.back_off * 2, limits_.longest_back_off)
                : limits_.first_back_off;
    known.back_off_end = now + known.back_off;
    known.status = health_status::ejected;
    known.current = {};
    known.previous = {};
    add_event("upstream_ejected", upstream, "in-band failures");
}

void upstream_health::start_trial(upstream_id upstream, health_entry& known,
                                  const char* reason)
{
    known.status = health_status::trial;
    known.trial_answers = 0;
    known.current = {};
    known.previous = {};
    known.endpoint_unhealthy = false;
    add_event("upstream_on_trial", upstream, reason);
}

void upstream_health::restore_one()
{
    auto soonest = known_.end();
    for (auto item = known_.begin(); item != known_.end(); ++item)
    {
        if (item->second.status == health_status::ejected &&
            (soonest == known_.end() ||
             item->second.back_off_end < soonest->second.back_off_end))
        {
            soonest = item;
        }
    }
    if (soonest != known_.end())
    {
        start_trial(soonest->first, soonest->second, "too few upstreams left");
    }
}

bool upstream_health::advance(upstream_id upstream, health_entry& known,
                              time_point now)
{
    rotate_window(known, now);
    if (known.status == health_status::ejected && known.back_off_end <= now)
    {
        start_trial(upstream, known, "back-off ended");
        return true;
    }
    if (known.status == health_status::trial &&
        known.trial_answers >= limits_.trial_handshakes)
    {
        known.status = health_status::good;
        known.good_since = now;
        add_event("upstream_returned", upstream, "answered on trial");
        return true;
    }
    return false;
}

std::size_t upstream_health::ejection_bound(std::size_t ready) const
{
    if (ready < 2)
    {
        return 0;
    }
    const std::size_t bound =
        (ready * (limits_.ejection_percent + 1) - 1) / 100;
    return std::min(bound, ready - 1);
}

void upstream_health::add_event(const char* event, upstream_id upstream,
                                const char* reason)
{
    events_.push_back({event, service_, upstream, reason});
}

} // namespace boragestand::coordination
