#include "traffic/upstream_pool.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace boragestand::traffic
{

namespace
{

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
    bool was_lost = false;
    bool was_cold = false;
    if (found != members_.end())
    {
        auto& known = found->second;
        was_lost =
            known.record.condition == coordination::upstream_condition::lost;
        was_cold = known.token == token && now < known.warmup_ends_at;
        if (is_older(record, known.record))
        {
            return;
        }
        remove_from_indexes(known);
        if (known.token != token)
        {
            remember_former(known, record, now);
            pace_.forget(known.token);
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
    const bool returns =
        was_lost && record.condition == coordination::upstream_condition::ready;
    const bool turns_cold = record.warmup_left_ms > 0 && !was_cold;
    if (settings_.joins_load && (turns_cold || returns))
    {
        pace_.begin(token, now);
    }
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

bool upstream_pool::is_evacuated(const std::string& service) const
{
    const auto ids = by_service_.find(service);
    if (ids == by_service_.end())
    {
        return false;
    }
    bool any = false;
    for (const auto id : ids->second)
    {
        const auto* const candidate = find(id);
        if (candidate == nullptr || !is_in_use(*candidate))
        {
            continue;
        }
        const auto evacuated = evacuations_.find(candidate->data_centre);
        if (evacuated == evacuations_.end() || !evacuated->second.active)
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

double upstream_pool::cost(const member& candidate, time_point now) const
{
    double total = candidate.open_flows;
    total += candidate.remote ? settings_.remote_penalty : 0.0;
    total += now < candidate.warmup_ends_at ? settings_.warmup_penalty : 0.0;
    if (is_data_centre_suspended(candidate, now))
    {
        return total + settings_.unreachable_penalty;
    }
    return is_silent(candidate, now) ? total + settings_.suspect_penalty
                                     : total;
}

bool upstream_pool::has_rate_limit(const member& candidate,
                                   time_point now) const
{
    return now < candidate.warmup_ends_at &&
           warmup_rates_.contains(candidate.record.service);
}

// A cold upstream with a rate gets flows only from instances with a grant.
bool upstream_pool::may_take(const member& candidate, time_point now)
{
    if (!has_rate_limit(candidate, now))
    {
        return true;
    }
    const auto grant = grants_.find(candidate.record.id);
    return grant != grants_.end() && now < grant->second.until &&
           grant->second.incarnation == candidate.record.incarnation &&
           grant->second.requests.available(now) >= 1.0;
}

void upstream_pool::apply(const std::vector<coordination::warmup_grant>& grants,
                          time_point now)
{
    for (const auto& grant : grants)
    {
        constexpr double thousand = 1000.0;
        const auto until = now + std::chrono::milliseconds(grant.lifetime_ms);
        const double rate = grant.requests_per_1000_s / thousand;
        const auto held = grants_.find(grant.upstream);
        if (held != grants_.end() &&
            held->second.incarnation > grant.incarnation)
        {
            continue;
        }
        // A renewal must not fill the bucket again.
        if (held != grants_.end() &&
            held->second.incarnation == grant.incarnation)
        {
            held->second.requests.set_rate(rate, now);
            held->second.until = until;
            continue;
        }
        grants_.insert_or_assign(
            grant.upstream, held_grant{grant.incarnation,
                                       token_bucket(rate, grant.burst), until});
    }
}

void upstream_pool::apply(const coordination::evidence_report& aggregate,
                          time_point now)
{
    if (!load_.apply(aggregate, now))
    {
        return;
    }
    for (const auto& [service, members] : by_service_)
    {
        step_slow_starts(members, now);
    }
}

void upstream_pool::step_slow_starts(const std::vector<std::uint64_t>& members,
                                     time_point now)
{
    std::vector<loaded_upstream> upstreams;
    for (const auto id : members)
    {
        if (const auto* known = find(id))
        {
            upstreams.push_back({known->token, known->record.slots});
        }
    }
    const double usual_ms = usual_service_ms(load_, pace_, upstreams);
    for (const auto& upstream : upstreams)
    {
        pace_.step(upstream, load_.of(upstream.token), usual_ms, now);
    }
}

load_summary upstream_pool::load_summary_at(time_point now) const
{
    load_summary summary;
    summary.age = load_.age(now).value_or(duration(0));
    summary.usable = load_.is_usable(now);
    summary.recovering = pace_.size();
    double busy = 0;
    double slots = 0;
    for (const auto& [id, known] : members_)
    {
        if (!is_in_use(known))
        {
            continue;
        }
        const auto load = load_.of(known.token);
        const double own_slots = std::max<std::uint32_t>(known.record.slots, 1);
        busy += load.busy;
        slots += own_slots;
        summary.max_use = std::max(summary.max_use, load.busy / own_slots);
        summary.suspected +=
            quality_of(load, known.record.slots, 0) < suspect_quality ? 1 : 0;
    }
    summary.mean_use = slots > 0 ? busy / slots : 0;
    return summary;
}

selection_policy upstream_pool::policy(time_point now) const
{
    if (settings_.joins_load && load_.is_usable(now))
    {
        return select_by_joined_load{&load_, &pace_};
    }
    return select_by_own_flows{};
}

std::vector<selection_candidate>
upstream_pool::find_candidates(const std::string& service,
                               const std::vector<std::uint64_t>& avoided,
                               time_point now)
{
    std::vector<selection_candidate> found;
    const auto ids = by_service_.find(service);
    if (ids == by_service_.end())
    {
        return found;
    }
    for (const auto id : ids->second)
    {
        const auto* const known = find(id);
        if (known == nullptr || !is_in_use(*known) ||
            is_evacuated(*known, now) || !may_take(*known, now))
        {
            continue;
        }
        selection_candidate candidate;
        candidate.id = id;
        candidate.token = known->token;
        candidate.slots = known->record.slots;
        candidate.cost = cost(*known, now);
        candidate.in_progress = tracker_.in_progress(known->token);
        candidate.remote = known->remote;
        candidate.suspect = is_suspect(*known, now);
        candidate.avoided =
            std::find(avoided.begin(), avoided.end(), id) != avoided.end();
        found.push_back(candidate);
    }
    return found;
}

upstream_pool::member*
upstream_pool::choose(const std::string& service,
                      const std::vector<std::uint64_t>& avoided,
                      std::uint64_t flow_hash, time_point now,
                      std::uint32_t& candidates, selection& basis)
{
    suspend_silent_data_centres(now);
    const auto found = find_candidates(service, avoided, now);
    candidates = static_cast<std::uint32_t>(found.size());
    const auto selected = select_upstream(policy(now), found, flow_hash);
    if (!selected)
    {
        return nullptr;
    }
    basis = *selected;
    auto* const chosen = find(found[selected->index].id);
    const auto grant = grants_.find(chosen->record.id);
    if (has_rate_limit(*chosen, now) && grant != grants_.end())
    {
        grant->second.requests.take(1.0, now);
    }
    return chosen;
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
    const auto has_expired = [now](const auto& each)
    {
        return now >= each.second.until;
    };
    std::erase_if(former_tokens_, has_expired);
    std::erase_if(grants_, has_expired);
    for (auto it = members_.begin(); it != members_.end();)
    {
        if (!is_forgotten(it->second, now))
        {
            ++it;
            continue;
        }
        remove_from_indexes(it->second);
        grants_.erase(it->first);
        pace_.forget(it->second.token);
        it = members_.erase(it);
    }
}

} // namespace boragestand::traffic
