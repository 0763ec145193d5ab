#include "traffic/upstream_pool.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace boragestand::traffic
{

namespace
{

// Added cost of an upstream that is chosen only if there is no other.
constexpr double avoided_cost = 10000.0;

// A control instance that lags behind can send outdated records.
bool is_older(const coordination::registered_upstream& record,
              const coordination::registered_upstream& known)
{
    return std::tie(record.incarnation, record.sequence, record.condition) <
           std::tie(known.incarnation, known.sequence, known.condition);
}

} // namespace

void upstream_pool::apply(
    const std::vector<coordination::registered_upstream>& records, bool full,
    time_point now)
{
    std::set<std::uint64_t> present;
    for (const auto& record : records)
    {
        present.insert(record.id);
        apply_record(record, now);
        members_[record.id].unlisted = false;
    }
    if (!full)
    {
        return;
    }
    for (auto& [id, known] : members_)
    {
        const bool unlisted = !present.contains(id);
        if (unlisted && !known.unlisted)
        {
            known.unlisted_since = now;
        }
        known.unlisted = unlisted;
    }
}

void upstream_pool::apply_record(
    const coordination::registered_upstream& record, time_point now)
{
    const auto token = make_routing_token(record.id, record.incarnation);
    const auto found = members_.find(record.id);
    if (found != members_.end())
    {
        auto& known = found->second;
        if (is_older(record, known.record))
        {
            return;
        }
        remove_from_indexes(known);
        if (known.token != token)
        {
            remember_former(known, record, now);
            known = {};
        }
    }
    auto& target = members_[record.id];
    target.record = record;
    target.token = token;
    target.updated_at = now;
    target.data_centre = hash_text(record.data_centre);
    target.remote = target.data_centre != settings_.data_centre;
    data_centres_.try_emplace(target.data_centre);
    target.warmup_ends_at =
        now + std::chrono::milliseconds(record.warmup_left_ms);
    add_to_indexes(target);
}

// Packets of a former incarnation go to the present one, which resets them. An
// upstream that has another service now must not get them.
void upstream_pool::remember_former(
    const member& former, const coordination::registered_upstream& record,
    time_point now)
{
    if (former.record.service == record.service)
    {
        former_tokens_[former.token] = {record.id,
                                        now + settings_.former_token_lifetime};
    }
}

void upstream_pool::add_to_indexes(const member& added)
{
    by_service_[added.record.service].push_back(added.record.id);
    by_token_[added.token].push_back(added.record.id);
    resolve_token_conflicts(added.token);
}

void upstream_pool::remove_from_indexes(const member& removed)
{
    const auto service = by_service_.find(removed.record.service);
    if (service != by_service_.end())
    {
        std::erase(service->second, removed.record.id);
        if (service->second.empty())
        {
            by_service_.erase(service);
        }
    }
    const auto token = by_token_.find(removed.token);
    if (token == by_token_.end())
    {
        return;
    }
    std::erase(token->second, removed.record.id);
    if (token->second.empty())
    {
        by_token_.erase(token);
        return;
    }
    resolve_token_conflicts(removed.token);
}

void upstream_pool::resolve_token_conflicts(routing_token token)
{
    auto& holders = by_token_[token];
    std::sort(holders.begin(), holders.end(),
              [this](std::uint64_t left, std::uint64_t right)
              {
                  return std::pair(members_[left].record.incarnation, left) <
                         std::pair(members_[right].record.incarnation, right);
              });
    for (const auto id : holders)
    {
        members_[id].token_conflicts = id != holders.front();
    }
}

void upstream_pool::apply(const std::vector<state::planned_service>& services)
{
    warmup_rates_.clear();
    for (const auto& service : services)
    {
        if (service.warmup_requests_per_1000_s > 0)
        {
            warmup_rates_[service.name] = service.warmup_requests_per_1000_s;
        }
    }
}

void upstream_pool::apply(const coordination::evacuation_notice& notice,
                          time_point now)
{
    auto& target = evacuations_[hash_text(notice.data_centre)];
    target.active = notice.active;
    if (!notice.active)
    {
        const duration since_end = std::chrono::milliseconds(notice.ended_ms);
        target.returns_at = now - since_end + settings_.evacuation_return_delay;
    }
}

bool upstream_pool::is_in_use(const member& candidate) const
{
    return candidate.record.condition ==
               coordination::upstream_condition::ready &&
           !candidate.token_conflicts && !candidate.unlisted;
}

bool upstream_pool::is_evacuated(const member& candidate, time_point now) const
{
    const auto found = evacuations_.find(candidate.data_centre);
    if (found == evacuations_.end())
    {
        return false;
    }
    // Upstreams may have become cold just before the end, which their next
    // heartbeats tell.
    return found->second.active ||
           (now < found->second.returns_at &&
            warmup_rates_.contains(candidate.record.service));
}

bool upstream_pool::is_evacuated(const std::string& service,
                                 time_point now) const
{
    const auto ids = by_service_.find(service);
    if (ids == by_service_.end())
    {
        return false;
    }
    bool any = false;
    for (const auto id : ids->second)
    {
        const auto found = members_.find(id);
        if (found == members_.end() || !is_in_use(found->second))
        {
            continue;
        }
        if (!is_evacuated(found->second, now))
        {
            return false;
        }
        any = true;
    }
    return any;
}

const upstream_pool::member* upstream_pool::find(std::uint64_t id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

upstream_pool::member* upstream_pool::find(std::uint64_t id)
{
    return const_cast<member*>(std::as_const(*this).find(id));
}

const upstream_pool::member*
upstream_pool::find_by_token(routing_token token) const
{
    if (const auto found = by_token_.find(token); found != by_token_.end())
    {
        return find(found->second.front());
    }
    const auto former = former_tokens_.find(token);
    return former == former_tokens_.end() ? nullptr
                                          : find(former->second.upstream);
}

upstream_pool::member* upstream_pool::find_by_token(routing_token token)
{
    return const_cast<member*>(std::as_const(*this).find_by_token(token));
}

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

double upstream_pool::cost(const member& candidate, time_point now) const
{
    double total = candidate.open_flows;
    total += candidate.remote ? settings_.remote_penalty : 0.0;
    total += now < candidate.warmup_ends_at ? settings_.warmup_penalty : 0.0;
    const auto centre = data_centres_.find(candidate.data_centre);
    if (centre != data_centres_.end() && now < centre->second.suspended_until)
    {
        return total + settings_.unreachable_penalty;
    }
    return is_silent(candidate, now) ? total + settings_.suspect_penalty
                                     : total;
}

upstream_pool::member* upstream_pool::choose(
    const std::string& service, const std::vector<std::uint64_t>& avoided,
    std::uint64_t flow_hash, time_point now, std::uint32_t& candidates)
{
    candidates = 0;
    const auto ids = by_service_.find(service);
    if (ids == by_service_.end())
    {
        return nullptr;
    }
    suspend_silent_data_centres(now);
    member* best = nullptr;
    double best_cost = 0.0;
    std::uint64_t best_score = 0;
    for (const auto id : ids->second)
    {
        auto* const candidate = find(id);
        if (candidate == nullptr || !is_in_use(*candidate) ||
            is_evacuated(*candidate, now))
        {
            continue;
        }
        ++candidates;
        const bool avoid =
            std::find(avoided.begin(), avoided.end(), id) != avoided.end();
        const double total = cost(*candidate, now) + (avoid ? avoided_cost : 0);
        const auto score = mix_hashes(flow_hash, id);
        if (best == nullptr || total < best_cost ||
            (total == best_cost && score > best_score))
        {
            best = candidate;
            best_cost = total;
            best_score = score;
        }
    }
    return best;
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

// Upstreams that were lost without a leave are gone for good after a time, too.
bool upstream_pool::is_forgotten(const member& known, time_point now) const
{
    const bool absent =
        known.record.condition == coordination::upstream_condition::gone ||
        known.record.condition == coordination::upstream_condition::lost;
    const bool absent_for_long =
        absent && now - known.updated_at >= settings_.former_token_lifetime;
    const bool unlisted_for_long =
        known.unlisted &&
        now - known.unlisted_since >= settings_.former_token_lifetime;
    return absent_for_long || unlisted_for_long;
}

void upstream_pool::expire(time_point now)
{
    std::erase_if(former_tokens_,
                  [now](const auto& each) { return now >= each.second.until; });
    for (auto it = members_.begin(); it != members_.end();)
    {
        if (!is_forgotten(it->second, now))
        {
            ++it;
            continue;
        }
        remove_from_indexes(it->second);
        it = members_.erase(it);
    }
}

} // namespace boragestand::traffic
