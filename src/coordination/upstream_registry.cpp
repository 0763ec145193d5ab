#include "coordination/upstream_registry.hpp"

#include <algorithm>
#include <tuple>

namespace boragestand::coordination
{

namespace
{

auto version_of(const registered_upstream& record)
{
    return std::tuple(record.incarnation, record.sequence, record.condition);
}

// An upstream that has left cannot return under the same incarnation.
bool is_stale(const registered_upstream& known,
              const registered_upstream& record)
{
    const bool has_left = known.condition == upstream_condition::gone &&
                          known.incarnation == record.incarnation;
    return has_left || version_of(record) <= version_of(known);
}

bool has_new_content(const registered_upstream& known,
                     const registered_upstream& record)
{
    return std::tie(known.service, known.address, known.data_centre,
                    known.incarnation, known.condition, known.slots) !=
           std::tie(record.service, record.address, record.data_centre,
                    record.incarnation, record.condition, record.slots);
}

// A record says how long its upstream stays cold. Differences below this are
// due to the time that heartbeats take.
constexpr duration cold_tolerance = std::chrono::milliseconds(500);

// Whether the time at which an upstream turns warm has changed. An upstream can
// turn cold without a restart.
bool is_cold_anew(time_point known_warm_at, const registered_upstream& record,
                  time_point now)
{
    const duration left = std::chrono::milliseconds(record.warmup_left_ms);
    const auto warm_at = now + left;
    const bool was_cold = now < known_warm_at;
    const bool is_cold = left > duration(0);
    if (!was_cold && !is_cold)
    {
        return false;
    }
    return warm_at > known_warm_at + cold_tolerance ||
           warm_at + cold_tolerance < known_warm_at;
}

bool is_present(upstream_condition condition)
{
    return condition == upstream_condition::ready ||
           condition == upstream_condition::draining;
}

std::uint32_t warmup_left(std::uint32_t at_start, duration passed)
{
    const auto passed_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
    return passed_ms >= at_start
               ? 0
               : at_start - static_cast<std::uint32_t>(passed_ms);
}

} // namespace

std::string_view to_text(upstream_condition condition)
{
    switch (condition)
    {
    case upstream_condition::ready:
        return "ready";
    case upstream_condition::draining:
        return "draining";
    case upstream_condition::lost:
        return "lost";
    case upstream_condition::gone:
        break;
    }
    return "gone";
}

std::string_view to_text(update_outcome outcome)
{
    switch (outcome)
    {
    case update_outcome::changed:
        return "changed";
    case update_outcome::refreshed:
        return "refreshed";
    case update_outcome::stale:
        break;
    }
    return "stale";
}

update_outcome upstream_registry::apply(const registered_upstream& record,
                                        time_point now, address_claim claim)
{
    const auto found = records_.find(record.id);
    if (found != records_.end() && is_stale(found->second.record, record))
    {
        return update_outcome::stale;
    }
    if (found == records_.end() && records_.size() >= settings_.max_records)
    {
        return update_outcome::stale;
    }
    if (resolve_address_conflict(record, claim, now))
    {
        return update_outcome::stale;
    }
    auto& target = records_[record.id];
    const auto warm_at = target.updated_at + std::chrono::milliseconds(
                                                 target.record.warmup_left_ms);
    const bool news = found == records_.end() ||
                      has_new_content(target.record, record) ||
                      is_cold_anew(warm_at, record, now);
    target.last_alive = now;
    if (!news)
    {
        target.record.sequence = record.sequence;
        return update_outcome::refreshed;
    }
    store_change(target, record, now);
    return update_outcome::changed;
}

// An address belongs to the upstream that started last. Returns true if another
// upstream keeps the record's address; a previous owner is marked as gone.
bool upstream_registry::resolve_address_conflict(
    const registered_upstream& record, address_claim claim, time_point now)
{
    const auto holder = by_address_.find(record.address);
    if (holder == by_address_.end() || holder->second == record.id)
    {
        return false;
    }
    const auto found = records_.find(holder->second);
    if (found == records_.end())
    {
        return false;
    }
    auto& other = found->second;
    if (claim == address_claim::free_only && is_present(other.record.condition))
    {
        return true;
    }
    if (other.record.incarnation > record.incarnation &&
        record.condition != upstream_condition::gone)
    {
        return true;
    }
    if (other.record.condition != upstream_condition::gone &&
        record.condition != upstream_condition::gone)
    {
        auto replaced = other.record;
        replaced.condition = upstream_condition::gone;
        store_change(other, replaced, now);
    }
    return false;
}

// The only place that changes a record and its entry in by_address_.
void upstream_registry::store_change(entry& target,
                                     const registered_upstream& record,
                                     time_point now)
{
    if (target.record.address != record.address)
    {
        release_address(target.record);
    }
    target.record = record;
    target.last_change = ++cursor_;
    if (record.condition != upstream_condition::ready)
    {
        leave_cursor_ = cursor_;
    }
    target.updated_at = now;
    if (record.condition != upstream_condition::gone)
    {
        by_address_[record.address] = record.id;
    }
    if (is_present(record.condition))
    {
        target.announced_condition = record.condition;
    }
}

void upstream_registry::release_address(const registered_upstream& record)
{
    const auto holder = by_address_.find(record.address);
    if (holder != by_address_.end() && holder->second == record.id)
    {
        by_address_.erase(holder);
    }
}

std::uint64_t
upstream_registry::holder_of(const transport::endpoint& address) const
{
    const auto holder = by_address_.find(address);
    return holder == by_address_.end() ? 0 : holder->second;
}

update_outcome upstream_registry::apply(const upstream_refresh& refresh,
                                        time_point now)
{
    const auto found = records_.find(refresh.id);
    if (found == records_.end())
    {
        return update_outcome::stale;
    }
    auto& known = found->second;
    if (known.record.incarnation != refresh.incarnation ||
        known.record.sequence >= refresh.sequence ||
        known.record.condition == upstream_condition::gone)
    {
        return update_outcome::stale;
    }
    auto returned = known.record;
    returned.condition = known.announced_condition;
    returned.warmup_left_ms =
        warmup_left(returned.warmup_left_ms, now - known.updated_at);
    const bool was_lost = known.record.condition == upstream_condition::lost;
    if (was_lost &&
        resolve_address_conflict(returned, address_claim::free_only, now))
    {
        return update_outcome::stale;
    }
    known.last_alive = now;
    known.record.sequence = refresh.sequence;
    if (!was_lost)
    {
        return update_outcome::refreshed;
    }
    returned.sequence = refresh.sequence;
    store_change(known, returned, now);
    return update_outcome::changed;
}

update_outcome upstream_registry::mark_gone(
    std::uint64_t id, std::optional<std::uint64_t> incarnation, time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return update_outcome::stale;
    }
    auto record = found->second.record;
    if (incarnation.value_or(record.incarnation) != record.incarnation)
    {
        return update_outcome::stale;
    }
    if (record.condition == upstream_condition::gone)
    {
        return update_outcome::refreshed;
    }
    record.condition = upstream_condition::gone;
    store_change(found->second, record, now);
    return update_outcome::changed;
}

void upstream_registry::record_direct_heartbeat(std::uint64_t id,
                                                time_point now)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second.last_heard = now;
    }
}

void upstream_registry::compensate_for_pause(time_point now)
{
    const auto pause = now - last_expiry_.value_or(now);
    last_expiry_ = now;
    if (pause <= settings_.max_expire_interval)
    {
        return;
    }
    for (auto& [id, known] : records_)
    {
        known.last_alive = std::min(known.last_alive + pause, now);
    }
}

std::vector<std::uint64_t> upstream_registry::expire(time_point now)
{
    compensate_for_pause(now);
    std::vector<std::uint64_t> lost;
    for (auto it = records_.begin(); it != records_.end();)
    {
        auto& known = it->second;
        const bool present = is_present(known.record.condition);
        if (present && now - known.last_alive >= settings_.lease)
        {
            auto record = known.record;
            record.condition = upstream_condition::lost;
            record.warmup_left_ms =
                warmup_left(record.warmup_left_ms, now - known.updated_at);
            store_change(known, record, now);
            lost.push_back(it->first);
        }
        if (!present && now - known.updated_at >= settings_.tombstone_lifetime)
        {
            release_address(known.record);
            it = records_.erase(it);
            continue;
        }
        ++it;
    }
    return lost;
}

std::uint64_t upstream_registry::last_change(std::uint64_t id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? 0 : found->second.last_change;
}

std::vector<registered_upstream>
upstream_registry::changes_since(std::uint64_t cursor, time_point now,
                                 std::size_t limit) const
{
    std::vector<const entry*> changed;
    for (const auto& [id, known] : records_)
    {
        if (known.last_change > cursor)
        {
            changed.push_back(&known);
        }
    }
    std::sort(changed.begin(), changed.end(),
              [](const entry* left, const entry* right)
              { return left->last_change < right->last_change; });
    changed.resize(std::min(changed.size(), limit));
    std::vector<registered_upstream> records;
    for (const auto* known : changed)
    {
        records.push_back(known->record);
        records.back().warmup_left_ms =
            warmup_left(known->record.warmup_left_ms, now - known->updated_at);
    }
    return records;
}

std::vector<upstream_refresh>
upstream_registry::heartbeats_since(time_point since) const
{
    std::vector<upstream_refresh> refreshes;
    for (const auto& [id, known] : records_)
    {
        if (known.last_heard > since)
        {
            refreshes.push_back(
                {id, known.record.incarnation, known.record.sequence});
        }
    }
    return refreshes;
}

bool upstream_registry::has_data_centre(const std::string& name) const
{
    return std::any_of(records_.begin(), records_.end(),
                       [&name](const auto& each)
                       { return each.second.record.data_centre == name; });
}

const registered_upstream* upstream_registry::find(std::uint64_t id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.record;
}

} // namespace boragestand::coordination
