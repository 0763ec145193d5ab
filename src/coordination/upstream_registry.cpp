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

// An upstream that has left does not come back under the same incarnation.
bool is_stale(const registered_upstream& known,
              const registered_upstream& record)
{
    const bool has_left = known.condition == upstream_condition::gone &&
                          known.incarnation == record.incarnation;
    return has_left || version_of(record) <= version_of(known);
}

bool tells_news(const registered_upstream& known,
                const registered_upstream& record)
{
    return std::tie(known.service, known.address, known.data_centre,
                    known.incarnation, known.condition, known.slots) !=
           std::tie(record.service, record.address, record.data_centre,
                    record.incarnation, record.condition, record.slots);
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

std::string_view to_text(registration outcome)
{
    switch (outcome)
    {
    case registration::changed:
        return "changed";
    case registration::refreshed:
        return "refreshed";
    case registration::stale:
        break;
    }
    return "stale";
}

registration upstream_registry::apply(const registered_upstream& record,
                                      time_point now)
{
    const auto found = records_.find(record.id);
    if (found != records_.end() && is_stale(found->second.record, record))
    {
        return registration::stale;
    }
    if (found == records_.end() && records_.size() >= settings_.max_records)
    {
        return registration::stale;
    }
    if (loses_address(record, now))
    {
        return registration::stale;
    }
    auto& target = records_[record.id];
    const bool news =
        found == records_.end() || tells_news(target.record, record);
    target.alive = now;
    if (!news)
    {
        target.record.sequence = record.sequence;
        return registration::refreshed;
    }
    change(target, record, now);
    return registration::changed;
}

// An address belongs to the upstream that started last.
bool upstream_registry::loses_address(const registered_upstream& record,
                                      time_point now)
{
    const auto holder = by_address_.find(record.address);
    if (holder == by_address_.end() || holder->second == record.id)
    {
        return false;
    }
    auto& other = records_.at(holder->second);
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
        change(other, replaced, now);
    }
    return false;
}

void upstream_registry::change(entry& target, const registered_upstream& record,
                               time_point now)
{
    target.record = record;
    target.changed_at = ++cursor_;
    target.learnt = now;
    if (record.condition != upstream_condition::gone)
    {
        by_address_[record.address] = record.id;
    }
    if (is_present(record.condition))
    {
        target.announced = record.condition;
    }
}

registration upstream_registry::apply(const upstream_refresh& refresh,
                                      time_point now)
{
    const auto found = records_.find(refresh.id);
    if (found == records_.end())
    {
        return registration::stale;
    }
    auto& known = found->second;
    if (known.record.incarnation != refresh.incarnation ||
        known.record.sequence >= refresh.sequence ||
        known.record.condition == upstream_condition::gone)
    {
        return registration::stale;
    }
    known.alive = now;
    known.record.sequence = refresh.sequence;
    if (known.record.condition != upstream_condition::lost)
    {
        return registration::refreshed;
    }
    auto returned = known.record;
    returned.condition = known.announced;
    change(known, returned, now);
    return registration::changed;
}

registration upstream_registry::leave(std::uint64_t id,
                                      std::optional<std::uint64_t> incarnation,
                                      time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return registration::stale;
    }
    auto record = found->second.record;
    if (incarnation.value_or(record.incarnation) != record.incarnation)
    {
        return registration::stale;
    }
    if (record.condition == upstream_condition::gone)
    {
        return registration::refreshed;
    }
    record.condition = upstream_condition::gone;
    change(found->second, record, now);
    return registration::changed;
}

void upstream_registry::note_heard(std::uint64_t id, time_point now)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second.heard = now;
    }
}

void upstream_registry::forgive_pause(time_point now)
{
    const auto pause = now - expired_at_.value_or(now);
    expired_at_ = now;
    if (pause <= settings_.longest_pause)
    {
        return;
    }
    for (auto& [id, known] : records_)
    {
        known.alive = std::min(known.alive + pause, now);
    }
}

std::vector<std::uint64_t> upstream_registry::expire(time_point now)
{
    forgive_pause(now);
    std::vector<std::uint64_t> lost;
    for (auto it = records_.begin(); it != records_.end();)
    {
        auto& known = it->second;
        const bool present = is_present(known.record.condition);
        if (present && now - known.alive >= settings_.lease)
        {
            auto record = known.record;
            record.condition = upstream_condition::lost;
            change(known, record, now);
            lost.push_back(it->first);
        }
        if (!present && now - known.learnt >= settings_.tombstone)
        {
            const auto holder = by_address_.find(known.record.address);
            if (holder != by_address_.end() && holder->second == it->first)
            {
                by_address_.erase(holder);
            }
            it = records_.erase(it);
            continue;
        }
        ++it;
    }
    return lost;
}

std::uint64_t upstream_registry::changed_at(std::uint64_t id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? 0 : found->second.changed_at;
}

std::vector<registered_upstream>
upstream_registry::changes_since(std::uint64_t cursor, time_point now) const
{
    std::vector<registered_upstream> changes;
    for (const auto& [id, known] : records_)
    {
        if (known.changed_at <= cursor)
        {
            continue;
        }
        changes.push_back(known.record);
        changes.back().warmup_left_ms =
            warmup_left(known.record.warmup_left_ms, now - known.learnt);
    }
    return changes;
}

std::vector<upstream_refresh>
upstream_registry::heard_since(time_point since) const
{
    std::vector<upstream_refresh> heard;
    for (const auto& [id, known] : records_)
    {
        if (known.heard > since)
        {
            heard.push_back(
                {id, known.record.incarnation, known.record.sequence});
        }
    }
    return heard;
}

const registered_upstream* upstream_registry::find(std::uint64_t id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.record;
}

} // namespace boragestand::coordination
