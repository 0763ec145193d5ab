#include "traffic/upstream_load.hpp"

#include <algorithm>

namespace boragestand::traffic
{

namespace
{

// Weight of a new aggregate against all before it.
constexpr double smoothing = 0.5;

// An upstream with less than this in all respects is forgotten.
constexpr double negligible = 0.01;

constexpr double percent = 100.0;

double approach(double former, double measured)
{
    return former + smoothing * (measured - former);
}

joined_load measured_load(const coordination::upstream_evidence& evidence)
{
    const double answers = evidence.answers;
    const double unanswered = evidence.unanswered;
    const double requests = answers + unanswered;
    return {evidence.busy_percent / percent, answers,
            static_cast<double>(evidence.answer_ms),
            requests > 0 ? unanswered / requests : 0};
}

} // namespace

double service_ms(const joined_load& load, std::uint32_t slots)
{
    const double queue = load.busy / std::max<std::uint32_t>(slots, 1);
    return load.answer_ms / std::max(queue, 1.0);
}

bool upstream_load::apply(const coordination::evidence_report& aggregate,
                          time_point now)
{
    // Aggregates of one control instance come in order; those of another one
    // after a change of source are newer.
    if (aggregate.writer == writer_ && aggregate.sequence <= sequence_)
    {
        return false;
    }
    writer_ = aggregate.writer;
    sequence_ = aggregate.sequence;
    if (!is_usable(now))
    {
        loads_.clear();
    }
    updated_ = now;
    std::unordered_map<routing_token, joined_load> measured;
    for (const auto& each : aggregate.upstreams)
    {
        measured[each.token] = measured_load(each);
        loads_.try_emplace(each.token, measured[each.token]);
    }
    for (auto it = loads_.begin(); it != loads_.end();)
    {
        auto& [token, load] = *it;
        const auto found = measured.find(token);
        const auto now_measured =
            found == measured.end() ? joined_load{} : found->second;
        load.busy = approach(load.busy, now_measured.busy);
        load.answers = approach(load.answers, now_measured.answers);
        load.failing = approach(load.failing, now_measured.failing);
        if (now_measured.answers > 0)
        {
            load.answer_ms = approach(load.answer_ms, now_measured.answer_ms);
        }
        const bool forgotten = load.busy < negligible &&
                               load.answers < negligible &&
                               load.failing < negligible;
        it = forgotten ? loads_.erase(it) : std::next(it);
    }
    return true;
}

std::optional<duration> upstream_load::age(time_point now) const
{
    return updated_ ? std::optional(now - *updated_) : std::nullopt;
}

bool upstream_load::is_usable(time_point now) const
{
    return updated_ && now - *updated_ <= max_age;
}

const joined_load* upstream_load::find(routing_token upstream) const
{
    const auto found = loads_.find(upstream);
    return found == loads_.end() ? nullptr : &found->second;
}

joined_load upstream_load::of(routing_token upstream) const
{
    const auto* const known = find(upstream);
    return known == nullptr ? joined_load{} : *known;
}

} // namespace boragestand::traffic
