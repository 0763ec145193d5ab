#include "traffic/upstream_pool.hpp"

#include <algorithm>

namespace boragestand::traffic
{

namespace
{

// Unanswered SYNs in a row after which an answer means a recovery; a single one
// can be a lost packet.
constexpr std::uint32_t failures_of_suspension = 2;

} // namespace

// During a backlog of packets, answers may not have been read yet, so silence
// is measured from the last backlog at the earliest.
bool upstream_pool::is_silent(const member& candidate, time_point now) const
{
    if (now < candidate.suspended_until)
    {
        return true;
    }
    return !candidate.unanswered.empty() &&
           now - std::max(candidate.unanswered.front(), last_backlog_) >
               settings_.handshake_limit;
}

// An upstream counts as silent only if no upstream of its data centre has
// answered since it became silent.
void upstream_pool::suspend_silent_data_centres(time_point now)
{
    for (auto& [id, centre] : data_centres_)
    {
        centre.silent_upstreams = 0;
    }
    for (const auto& [id, known] : members_)
    {
        auto& centre = data_centres_[known.data_centre];
        const bool silent =
            is_silent(known, now) && known.silent_since > centre.last_answer;
        centre.silent_upstreams += silent ? 1 : 0;
    }
    for (auto& [id, centre] : data_centres_)
    {
        if (centre.silent_upstreams >= settings_.silent_upstream_limit &&
            now >= centre.suspended_until)
        {
            centre.suspended_until = now + backoff(centre.suspensions);
            ++centre.suspensions;
        }
    }
}

duration upstream_pool::backoff(std::uint32_t failures) const
{
    constexpr std::uint32_t max_doublings = 8;
    const auto doublings = std::min(failures, max_doublings);
    return std::min<duration>(settings_.first_suspension * (1 << doublings),
                              settings_.longest_suspension);
}

bool upstream_pool::is_data_centre_suspended(const member& candidate,
                                             time_point now) const
{
    const auto centre = data_centres_.find(candidate.data_centre);
    return centre != data_centres_.end() &&
           now < centre->second.suspended_until;
}

bool upstream_pool::is_suspect(const member& candidate, time_point now) const
{
    return is_data_centre_suspended(candidate, now) ||
           is_silent(candidate, now);
}

void upstream_pool::record_syn(member& target, time_point now)
{
    if (target.unanswered.empty() && target.failures == 0)
    {
        target.silent_since = now;
    }
    target.unanswered.push_back(now);
    ++target.open_flows;
    auto& centre = data_centres_[target.data_centre];
    if (centre.suspensions > 0 && now >= centre.suspended_until)
    {
        centre.suspended_until = now + settings_.probe_timeout;
    }
}

void upstream_pool::record_answer(member& target, time_point sent,
                                  time_point now)
{
    const auto found =
        std::find(target.unanswered.begin(), target.unanswered.end(), sent);
    if (found != target.unanswered.end())
    {
        target.unanswered.erase(found);
    }
    const bool was_suspended = target.failures >= failures_of_suspension;
    if (settings_.joins_load && was_suspended)
    {
        pace_.begin(target.token, now);
    }
    target.failures = 0;
    target.suspended_until = {};
    if (!target.unanswered.empty())
    {
        target.silent_since = target.unanswered.front();
    }
    auto& centre = data_centres_[target.data_centre];
    centre.last_answer = now;
    if (centre.suspensions > 0)
    {
        centre.suspensions = 0;
        centre.suspended_until = {};
        end_suspensions(target.data_centre);
    }
}

// The upstreams were silent because their data centre was unreachable.
void upstream_pool::end_suspensions(std::uint64_t data_centre)
{
    for (auto& [id, known] : members_)
    {
        if (known.data_centre == data_centre)
        {
            known.suspended_until = {};
            known.failures = 0;
        }
    }
}

void upstream_pool::record_unanswered_syn(member& target, time_point sent,
                                          time_point now)
{
    const auto found =
        std::find(target.unanswered.begin(), target.unanswered.end(), sent);
    if (found == target.unanswered.end())
    {
        return;
    }
    target.unanswered.erase(found);
    target.suspended_until =
        std::max(target.suspended_until, now + backoff(target.failures));
    ++target.failures;
}

} // namespace boragestand::traffic
