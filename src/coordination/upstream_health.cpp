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
    const auto found = entries_.find(observation.upstream);
    if (found == entries_.end())
    {
        return;
    }
    health_entry& entry = found->second;
    rotate_window(entry, now);
    if (const auto* made = std::get_if<flow_established>(&observation.event))
    {
        ++entry.current.answered;
        ++entry.trial_answers;
        entry.current.handshake_sum += made->handshake_time;
        return;
    }
    const auto* ended = std::get_if<flow_ended>(&observation.event);
    if (std::holds_alternative<syn_repeated>(observation.event) ||
        (ended != nullptr && ended->end == flow_end::unanswered))
    {
        ++entry.current.unanswered;
    }
}

void upstream_health::record(const endpoint_report& report, time_point now)
{
    const auto found = entries_.find(report.upstream);
    if (found == entries_.end())
    {
        return;
    }
    health_entry& entry = found->second;
    rotate_window(entry, now);
    const handshake_counts counts = recent_counts(entry);
    const bool answers = counts.answered >= limits_.failures &&
                         counts.answered > 2 * counts.unanswered;
    if (!report.healthy && answers)
    {
        record_contradiction(report.upstream,
                             "endpoint reports unhealthy, flows are answered",
                             now);
        return;
    }
    if (report.healthy && is_failing(entry, median_handshake()))
    {
        record_contradiction(report.upstream,
                             "endpoint reports healthy, flows fail", now);
        return;
    }
    entry.endpoint_unhealthy = !report.healthy && entry.distrusted_until <= now;
}

void upstream_health::record_load_contradiction(upstream_id upstream,
                                                time_point now)
{
    if (entries_.contains(upstream))
    {
        record_contradiction(upstream, "endpoint load differs from open flows",
                             now);
    }
}

bool upstream_health::trusts_endpoints(upstream_id upstream,
                                       time_point now) const
{
    const auto found = entries_.find(upstream);
    return found != entries_.end() && found->second.distrusted_until <= now;
}

bool upstream_health::update(const std::vector<upstream_id>& ready,
                             time_point now)
{
    std::erase_if(entries_,
                  [&ready](const auto& item) {
                      return !std::binary_search(ready.begin(), ready.end(),
                                                 item.first);
                  });
    bool changed = false;
    std::size_t ejected_count = 0;
    for (const upstream_id upstream : ready)
    {
        const auto [place, added] = entries_.try_emplace(upstream);
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
    for (auto& [upstream, entry] : entries_)
    {
        if (ejected_count >= bound || entry.status == health_status::ejected ||
            !is_failing(entry, median))
        {
            continue;
        }
        eject(upstream, entry, now);
        ++ejected_count;
        changed = true;
    }
    return changed;
}

bool upstream_health::is_ejected(upstream_id upstream) const
{
    const auto found = entries_.find(upstream);
    return found != entries_.end() &&
           found->second.status == health_status::ejected;
}

bool upstream_health::is_on_trial(upstream_id upstream) const
{
    const auto found = entries_.find(upstream);
    return found != entries_.end() &&
           found->second.status == health_status::trial;
}

std::vector<traffic_event> upstream_health::take_events()
{
    return std::exchange(events_, {});
}

upstream_health::handshake_counts
upstream_health::recent_counts(const health_entry& entry) const
{
    return {entry.current.answered + entry.previous.answered,
            entry.current.unanswered + entry.previous.unanswered,
            entry.current.handshake_sum + entry.previous.handshake_sum};
}

bool upstream_health::is_failing(const health_entry& entry,
                                 duration median) const
{
    const handshake_counts counts = recent_counts(entry);
    if (counts.unanswered >= limits_.failures &&
        counts.unanswered > counts.answered)
    {
        return true;
    }
    // On trial, one failure is enough if it outnumbers the answers.
    if (entry.status == health_status::trial &&
        counts.unanswered > counts.answered)
    {
        return true;
    }
    if (entry.endpoint_unhealthy && counts.answered == 0)
    {
        return true;
    }
    if (counts.answered < handshakes_for_mean)
    {
        return false;
    }
    const duration mean = counts.handshake_sum / counts.answered;
    return mean > limits_.slow_handshake &&
           mean > median * static_cast<int>(limits_.slow_factor);
}

duration upstream_health::median_handshake() const
{
    std::vector<duration> means;
    for (const auto& [upstream, entry] : entries_)
    {
        const handshake_counts counts = recent_counts(entry);
        if (counts.answered > 0)
        {
            means.push_back(counts.handshake_sum / counts.answered);
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

void upstream_health::rotate_window(health_entry& entry, time_point now) const
{
    if (now < entry.window_start + limits_.window)
    {
        return;
    }
    const bool adjacent = now < entry.window_start + 2 * limits_.window;
    entry.previous = adjacent ? entry.current : handshake_counts{};
    entry.current = {};
    entry.window_start = now;
}

void upstream_health::record_contradiction(upstream_id upstream,
                                           const char* what, time_point now)
{
    ++contradictions_;
    health_entry& entry = entries_[upstream];
    entry.endpoint_unhealthy = false;
    // Logged once per period of distrust, so that a wrong endpoint cannot flood
    // the log.
    if (entry.distrusted_until <= now)
    {
        add_event("endpoint_distrusted", upstream, what);
    }
    entry.distrusted_until = now + limits_.distrust;
}

void upstream_health::eject(upstream_id upstream, health_entry& entry,
                            time_point now)
{
    // After longest_back_off without a failure the back-off starts over.
    const bool relapse = entry.status == health_status::trial ||
                         (entry.back_off > duration(0) &&
                          now < entry.good_since + limits_.longest_back_off);
    entry.back_off =
        relapse ? std::min(entry.back_off * 2, limits_.longest_back_off)
                : limits_.first_back_off;
    entry.back_off_end = now + entry.back_off;
    entry.status = health_status::ejected;
    entry.current = {};
    entry.previous = {};
    add_event("upstream_ejected", upstream, "in-band failures");
}

void upstream_health::start_trial(upstream_id upstream, health_entry& entry,
                                  const char* reason)
{
    entry.status = health_status::trial;
    entry.trial_answers = 0;
    entry.current = {};
    entry.previous = {};
    entry.endpoint_unhealthy = false;
    add_event("upstream_on_trial", upstream, reason);
}

void upstream_health::restore_one()
{
    auto soonest = entries_.end();
    for (auto item = entries_.begin(); item != entries_.end(); ++item)
    {
        if (item->second.status == health_status::ejected &&
            (soonest == entries_.end() ||
             item->second.back_off_end < soonest->second.back_off_end))
        {
            soonest = item;
        }
    }
    if (soonest != entries_.end())
    {
        start_trial(soonest->first, soonest->second, "too few upstreams left");
    }
}

bool upstream_health::advance(upstream_id upstream, health_entry& entry,
                              time_point now)
{
    rotate_window(entry, now);
    if (entry.status == health_status::ejected && entry.back_off_end <= now)
    {
        start_trial(upstream, entry, "back-off ended");
        return true;
    }
    if (entry.status == health_status::trial &&
        entry.trial_answers >= limits_.trial_handshakes)
    {
        entry.status = health_status::good;
        entry.good_since = now;
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
