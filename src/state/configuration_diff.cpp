#include "state/configuration_diff.hpp"

#include "state/configuration_json.hpp"

#include <map>

namespace boragestand::state
{

namespace
{

using nlohmann::json;

/// The objects of one list by name.
using object_table = std::map<std::string, json>;

std::string format_value(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string format_fields(const json& object)
{
    std::string text;
    for (const auto& [key, value] : object.items())
    {
        text += (text.empty() ? "" : ", ") + key + " " + format_value(value);
    }
    return text;
}

std::string format_changed_fields(const json& from, const json& to)
{
    json keys = from;
    keys.update(to);
    std::string text;
    for (const auto& [key, value] : keys.items())
    {
        const std::string before = format_value(from.value(key, json("none")));
        const std::string after = format_value(to.value(key, json("none")));
        if (before != after)
        {
            text += text.empty() ? "" : ", ";
            text += key;
            text += ' ';
            text += before;
            text += " -> ";
            text += after;
        }
    }
    return text;
}

object_table index_by_name(const json& list, const std::string& kind,
                           const std::vector<std::string>& name_keys)
{
    object_table table;
    std::map<std::string, std::size_t> positions;
    for (json object : list)
    {
        std::string name = kind;
        for (const std::string& key : name_keys)
        {
            name += " " + format_value(object.at(key));
            object.erase(key);
        }
        if (kind == "rule")
        {
            object["place"] =
                ++positions[object.at("service").get<std::string>()];
        }
        table.emplace(std::move(name), std::move(object));
    }
    return table;
}

void append_changes(const object_table& from, const object_table& to,
                    std::vector<configuration_change>& changes)
{
    for (const auto& [name, object] : from)
    {
        const auto after = to.find(name);
        if (after == to.end())
        {
            changes.push_back({change_kind::removed, name, ""});
        }
        else if (after->second != object)
        {
            changes.push_back({change_kind::changed, name,
                               format_changed_fields(object, after->second)});
        }
    }
    for (const auto& [name, object] : to)
    {
        if (!from.contains(name))
        {
            changes.push_back(
                {change_kind::added, name, format_fields(object)});
        }
    }
}

} // namespace

std::vector<configuration_change> diff(const configuration& from,
                                       const configuration& to)
{
    const json before = to_json(from);
    const json after = to_json(to);
    std::vector<configuration_change> changes;
    const auto compare_lists = [&](const std::string& list,
                                   const std::string& kind,
                                   const std::vector<std::string>& name_keys)
    {
        append_changes(index_by_name(before.at(list), kind, name_keys),
                       index_by_name(after.at(list), kind, name_keys), changes);
    };
    compare_lists("services", "service", {"name"});
    compare_lists("rules", "rule", {"name"});
    compare_lists("overrides", "upstream", {"service", "upstream"});
    compare_lists("agreements", "agreement", {"id"});
    return changes;
}

std::string to_string(const configuration_change& change)
{
    static constexpr char signs[] = {'+', '~', '-'};
    std::string text(1, signs[static_cast<std::size_t>(change.kind)]);
    text += " " + change.object;
    return change.details.empty() ? text : text + ": " + change.details;
}

} // namespace boragestand::state
