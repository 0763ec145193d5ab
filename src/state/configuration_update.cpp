#include "state/configuration_update.hpp"

#include "state/configuration_fields.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace boragestand::state
{

namespace
{

/// Key by which a list of a configuration is sorted.
service_id key_of(const service& value)
{
    return value.id;
}

std::uint64_t key_of(const refusal_agreement& value)
{
    return value.id;
}

override_key key_of(const upstream_override& value)
{
    return {value.service, value.upstream};
}

template <typename Key>
const Key& key_of(const std::pair<Key, bool>& value)
{
    return value.first;
}

template <typename Value>
auto find_key(const std::vector<Value>& sorted, const auto& key)
{
    const auto found =
        std::lower_bound(sorted.begin(), sorted.end(), key,
                         [](const Value& value, const auto& wanted)
                         { return key_of(value) < wanted; });
    return found != sorted.end() && key_of(*found) == key ? found
                                                          : sorted.end();
}

/// Values of the second list that the first lacks or has with other content.
template <typename Value>
std::vector<Value> collect_changed(const std::vector<Value>& from,
                                   const std::vector<Value>& to)
{
    std::vector<Value> values;
    for (const Value& value : to)
    {
        const auto before = find_key(from, key_of(value));
        if (before == from.end() || *before != value)
        {
            values.push_back(value);
        }
    }
    return values;
}

/// Keys of the first list that the second lacks.
template <typename Value>
auto collect_removed_keys(const std::vector<Value>& from,
                          const std::vector<Value>& to)
{
    std::vector<std::remove_cvref_t<decltype(key_of(from.front()))>> keys;
    for (const Value& value : from)
    {
        if (find_key(to, key_of(value)) == to.end())
        {
            keys.push_back(key_of(value));
        }
    }
    return keys;
}

using rules_by_service = std::map<service_id, std::vector<rule>>;

rules_by_service group_by_service(const std::vector<rule>& rules)
{
    rules_by_service groups;
    for (const rule& each : rules)
    {
        groups[each.service].push_back(each);
    }
    return groups;
}

std::vector<service_rules> collect_changed_rules(const configuration& from,
                                                 const configuration& to)
{
    rules_by_service before = group_by_service(from.rules);
    rules_by_service after = group_by_service(to.rules);
    std::vector<service_rules> changed;
    for (const auto& [service, rules] : after)
    {
        if (before[service] != rules)
        {
            changed.push_back({service, rules});
        }
    }
    for (const auto& [service, rules] : before)
    {
        if (!rules.empty() && !after.contains(service))
        {
            changed.push_back({service, {}});
        }
    }
    return changed;
}

/// The sorted list with values added or replaced and keys removed. Linear in
/// the list, because an update of a large fleet can change thousands of
/// entries.
template <typename Value, typename Key>
std::vector<Value> merge(const std::vector<Value>& current,
                         const std::vector<Value>& changed,
                         const std::vector<Key>& removed)
{
    std::map<Key, Value> values;
    for (const Value& value : current)
    {
        values.insert_or_assign(values.end(), key_of(value), value);
    }
    for (const Key& key : removed)
    {
        values.erase(key);
    }
    for (const Value& value : changed)
    {
        values.insert_or_assign(key_of(value), value);
    }
    std::vector<Value> list;
    list.reserve(values.size());
    for (auto& [key, value] : values)
    {
        list.push_back(std::move(value));
    }
    return list;
}

std::vector<rule> merge_rules(const std::vector<rule>& current,
                              const std::vector<service_rules>& changed)
{
    rules_by_service groups = group_by_service(current);
    for (const service_rules& each : changed)
    {
        groups[each.service] = each.rules;
    }
    std::vector<rule> list;
    for (const auto& [service, rules] : groups)
    {
        list.insert(list.end(), rules.begin(), rules.end());
    }
    return list;
}

configuration apply_delta(const configuration_delta& delta,
                          const configuration& current)
{
    configuration next;
    next.revision = delta.to_revision;
    next.note_number = delta.note_number;
    next.last_service = delta.last_service;
    next.services =
        merge(current.services, delta.services, delta.removed_services);
    next.rules = merge_rules(current.rules, delta.rules);
    next.overrides =
        merge(current.overrides, delta.overrides, delta.removed_overrides);
    next.agreements =
        merge(current.agreements, delta.agreements, delta.removed_agreements);
    return next;
}

} // namespace

configuration_delta delta_between(const configuration& from,
                                  const configuration& to)
{
    configuration_delta delta;
    delta.from_revision = from.revision;
    delta.to_revision = to.revision;
    delta.note_number = to.note_number;
    delta.last_service = to.last_service;
    delta.services = collect_changed(from.services, to.services);
    delta.removed_services = collect_removed_keys(from.services, to.services);
    delta.rules = collect_changed_rules(from, to);
    delta.overrides = collect_changed(from.overrides, to.overrides);
    delta.removed_overrides =
        collect_removed_keys(from.overrides, to.overrides);
    delta.agreements = collect_changed(from.agreements, to.agreements);
    delta.removed_agreements =
        collect_removed_keys(from.agreements, to.agreements);
    return delta;
}

result<std::shared_ptr<const configuration>>
apply_update(const configuration_update& update,
             const std::shared_ptr<const configuration>& current)
{
    if (const auto* snapshot = std::get_if<configuration>(&update))
    {
        return snapshot->revision <= current->revision
                   ? current
                   : std::make_shared<const configuration>(*snapshot);
    }
    const auto& delta = std::get<configuration_delta>(update);
    if (delta.to_revision <= current->revision)
    {
        return current;
    }
    if (delta.from_revision != current->revision)
    {
        return failure(
            error_kind::stale_revision,
            "delta starts at revision " + std::to_string(delta.from_revision) +
                ", revision in force is " + std::to_string(current->revision));
    }
    return std::make_shared<const configuration>(apply_delta(delta, *current));
}

std::vector<std::byte>
encode_configuration_update(const configuration_update& update)
{
    return codec::encode(update);
}

result<configuration_update>
decode_configuration_update(std::span<const std::byte> bytes)
{
    return codec::decode<configuration_update>(bytes, max_update_size,
                                               "configuration update");
}

} // namespace boragestand::state
