#include "state/note_application.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace boragestand::state
{

namespace
{

using document::located;

/// Applies the items of one note to a copy of a configuration and collects the
/// faults of those that are invalid for it.
class note_applier
{
public:
    note_applier(const configuration& current, document::fault_list& faults)
        : next_(current), faults_(faults)
    {
        rebuild_indexes();
    }

    /// Applies all items in the order withdrawn, changed, added.
    void apply(const release_note& note);

    /// Returns the configuration with all valid items applied.
    configuration finish(const release_note& note);

private:
    void withdraw_service(const located<std::string>& name);
    void withdraw_rule(const located<std::string>& name);
    void change(const service_change& item);
    void change(const rule_change& item);
    void change(const upstream_change& item);
    void change_share(const rule_change& item, rule& target);
    void add(const service_addition& item);
    void add(const rule_addition& item);
    void add_address(const service_addition& item);

    void rebuild_indexes();
    void remove_withdrawn();
    void end_agreements(const rule& target);
    service* find_service(const located<std::string>& name);
    void check_unique(std::string what, const located<std::string>& name);
    void check_size(std::string_view what, std::size_t size, std::size_t limit);
    void fault(const located<std::string>& name, std::string message);

    using address_key = std::pair<transport::endpoint, protocol::ip_protocol>;

    configuration next_;
    document::fault_list& faults_;
    std::map<std::string, std::size_t> services_; ///< index by name
    std::map<std::string, std::size_t> rules_;    ///< index by name
    std::map<address_key, std::string> addresses_;
    std::map<std::pair<service_id, std::string>, upstream_override> overrides_;
    std::set<service_id> withdrawn_services_;
    std::set<std::string> withdrawn_rules_;
    std::set<std::string> changed_objects_; ///< kind and name
};

void note_applier::rebuild_indexes()
{
    services_.clear();
    rules_.clear();
    addresses_.clear();
    overrides_.clear();
    for (std::size_t i = 0; i < next_.services.size(); ++i)
    {
        const service& each = next_.services[i];
        services_[each.name] = i;
        addresses_[{each.address, each.protocol}] = each.name;
    }
    for (std::size_t i = 0; i < next_.rules.size(); ++i)
    {
        rules_[next_.rules[i].name] = i;
    }
    for (const upstream_override& each : next_.overrides)
    {
        overrides_[{each.service, each.upstream}] = each;
    }
}

void note_applier::fault(const located<std::string>& name, std::string message)
{
    faults_.add(name.where, std::move(message));
}

void note_applier::apply(const release_note& note)
{
    for (const auto& name : note.withdrawn_rules)
    {
        withdraw_rule(name);
    }
    for (const auto& name : note.withdrawn_services)
    {
        withdraw_service(name);
    }
    remove_withdrawn();
    const auto change_each = [this](const auto& items)
    {
        for (const auto& item : items)
        {
            change(item);
        }
    };
    const auto add_each = [this](const auto& items)
    {
        for (const auto& item : items)
        {
            add(item);
        }
    };
    change_each(note.changed_services);
    change_each(note.changed_rules);
    change_each(note.changed_upstreams);
    change_each(note.withdrawn_upstreams);
    add_each(note.added_services);
    add_each(note.added_rules);
}

void note_applier::withdraw_service(const located<std::string>& name)
{
    const auto found = services_.find(name.value);
    if (found == services_.end())
    {
        fault(name, "service " + name.value + " does not exist");
        return;
    }
    withdrawn_services_.insert(next_.services[found->second].id);
    services_.erase(found);
}

void note_applier::withdraw_rule(const located<std::string>& name)
{
    const auto found = rules_.find(name.value);
    if (found == rules_.end())
    {
        fault(name, "rule " + name.value + " does not exist");
        return;
    }
    end_agreements(next_.rules[found->second]);
    withdrawn_rules_.insert(name.value);
    rules_.erase(found);
}

void note_applier::remove_withdrawn()
{
    const auto is_withdrawn = [this](const auto& each)
    {
        return withdrawn_services_.contains(each.service);
    };
    std::erase_if(next_.services, [this](const service& each)
                  { return withdrawn_services_.contains(each.id); });
    std::erase_if(next_.rules, [this](const rule& each)
                  { return withdrawn_rules_.contains(each.name); });
    std::erase_if(next_.rules, is_withdrawn);
    std::erase_if(next_.overrides, is_withdrawn);
    std::erase_if(next_.agreements, is_withdrawn);
    rebuild_indexes();
}

void note_applier::end_agreements(const rule& target)
{
    std::erase_if(
        next_.agreements, [&target](const refusal_agreement& each)
        { return each.service == target.service && each.rule == target.name; });
}

service* note_applier::find_service(const located<std::string>& name)
{
    const auto found = services_.find(name.value);
    if (found == services_.end())
    {
        fault(name, "service " + name.value + " does not exist");
        return nullptr;
    }
    return &next_.services[found->second];
}

void note_applier::check_unique(std::string what,
                                const located<std::string>& name)
{
    if (!changed_objects_.insert(what + " " + name.value).second)
    {
        fault(name, what + " " + name.value + " is changed twice in this note");
    }
}

void note_applier::change(const service_change& item)
{
    check_unique("service", item.name);
    service* target = find_service(item.name);
    if (target == nullptr)
    {
        return;
    }
    target->idempotent = item.idempotent.value_or(target->idempotent);
    target->work = item.work.value_or(target->work);
    target->short_limit_ms =
        item.short_limit_ms.value_or(target->short_limit_ms);
    target->hold_limit_ms = item.hold_limit_ms.value_or(target->hold_limit_ms);
    target->hold_capacity = item.hold_capacity.value_or(target->hold_capacity);
    target->idle_limit_ms = item.idle_limit_ms.value_or(target->idle_limit_ms);
}

void note_applier::change(const rule_change& item)
{
    check_unique("rule", item.name);
    const auto found = rules_.find(item.name.value);
    if (found == rules_.end())
    {
        fault(item.name, "rule " + item.name.value + " does not exist");
        return;
    }
    rule& target = next_.rules[found->second];
    if (item.source)
    {
        target.source_address = item.source->address;
        target.source_prefix_length = item.source->length;
    }
    target.work = item.work.value_or(target.work);
    change_share(item, target);
    end_agreements(target);
}

void note_applier::change_share(const rule_change& item, rule& target)
{
    const bool shared_before = target.action == rule_action::share;
    target.action = item.action.value_or(target.action);
    if (target.action != rule_action::share)
    {
        target.share_percent = 100;
        if (item.share_percent)
        {
            fault(item.name, "share_percent is only allowed with action share");
        }
        return;
    }
    if (!shared_before && !item.share_percent)
    {
        fault(item.name, "share_percent is required when the action becomes "
                         "share");
    }
    target.share_percent = item.share_percent.value_or(target.share_percent);
}

void note_applier::change(const upstream_change& item)
{
    const service* found = find_service(item.service);
    if (found == nullptr)
    {
        return;
    }
    check_unique("upstream " + item.service.value, item.name);
    upstream_override& target = overrides_[{found->id, item.name.value}];
    target.service = found->id;
    target.upstream = item.name.value;
    target.weight = item.weight ? item.weight : target.weight;
    target.drain = item.drain.value_or(target.drain);
}

void note_applier::add(const service_addition& item)
{
    if (services_.contains(item.name.value))
    {
        fault(item.name, "service " + item.name.value + " exists already");
        return;
    }
    service added = item.defaults;
    added.id = service_id{++next_.last_service};
    added.name = item.name.value;
    added.address = item.address.value;
    services_[added.name] = next_.services.size();
    next_.services.push_back(added);
    add_address(item);
}

void note_applier::add_address(const service_addition& item)
{
    // An address that could not be read was reported by parse_release_note().
    if (item.address.value == transport::endpoint{})
    {
        return;
    }
    const auto [owner, added] = addresses_.try_emplace(
        {item.address.value, item.defaults.protocol}, item.name.value);
    if (!added)
    {
        faults_.add(item.address.where,
                    "address " + transport::to_string(item.address.value) +
                        " with protocol " +
                        std::string(name_of(item.defaults.protocol)) +
                        " belongs to service " + owner->second);
    }
}

void note_applier::add(const rule_addition& item)
{
    const service* found = find_service(item.service);
    if (rules_.contains(item.name.value))
    {
        fault(item.name, "rule " + item.name.value + " exists already");
        return;
    }
    if (found == nullptr)
    {
        return;
    }
    rules_[item.name.value] = next_.rules.size();
    next_.rules.push_back({item.name.value, found->id, item.source.address,
                           item.source.length, item.work, item.action,
                           item.share_percent});
}

void note_applier::check_size(std::string_view what, std::size_t size,
                              std::size_t limit)
{
    if (size > limit)
    {
        faults_.add({1, 1}, "the configuration would have " +
                                std::to_string(size) + " " + std::string(what) +
                                "; at most " + std::to_string(limit) +
                                " are accepted");
    }
}

configuration note_applier::finish(const release_note& note)
{
    next_.overrides.clear();
    for (const auto& [key, each] : overrides_)
    {
        if (each.weight || each.drain)
        {
            next_.overrides.push_back(each);
        }
    }
    std::stable_sort(next_.rules.begin(), next_.rules.end(),
                     [](const rule& left, const rule& right)
                     { return left.service < right.service; });
    check_size("services", next_.services.size(), max_services);
    check_size("rules", next_.rules.size(), max_rules);
    check_size("overrides", next_.overrides.size(), max_overrides);
    next_.note_number = note.number;
    ++next_.revision;
    return next_;
}

configuration apply_items(const release_note& note,
                          const configuration& current,
                          document::fault_list& faults)
{
    note_applier applier(current, faults);
    applier.apply(note);
    return applier.finish(note);
}

} // namespace

document::checked<configuration> apply(const release_note& note,
                                       const configuration& current)
{
    document::fault_list faults;
    configuration next = apply_items(note, current, faults);
    if (!faults.empty())
    {
        return tl::unexpected(faults.sorted());
    }
    return next;
}

document::checked<checked_note> check_release_note(std::string_view text,
                                                   const configuration& current)
{
    document::fault_list faults;
    release_note note = parse_release_note(text, faults);
    configuration next = apply_items(note, current, faults);
    if (!faults.empty())
    {
        return tl::unexpected(faults.sorted());
    }
    return checked_note{std::move(note), std::move(next)};
}

} // namespace boragestand::state
