#include "state/release_note.hpp"

#include <algorithm>
#include <concepts>

namespace boragestand::state
{

namespace
{

/// Seeds of the two halves of a digest. They are part of the replicated state
/// and cannot change.
constexpr std::uint64_t first_digest_seed = 1;
constexpr std::uint64_t second_digest_seed = 2;

/// Writes a flow mapping such as {name: a, weight: 5}.
class item_writer
{
public:
    item_writer& with(std::string_view key, std::string_view value)
    {
        text_ += text_.empty() ? "" : ", ";
        text_ += key;
        text_ += ": ";
        text_ += value;
        return *this;
    }

    item_writer& with(std::string_view key, bool value)
    {
        return with(key, std::string_view(value ? "true" : "false"));
    }

    template <std::unsigned_integral Number>
    item_writer& with(std::string_view key, Number value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

    item_writer& with(std::string_view key, protocol::request_class value)
    {
        return with(key, name_of(value));
    }

    item_writer& with(std::string_view key, rule_action value)
    {
        return with(key, name_of(value));
    }

    item_writer& with(std::string_view key, const source_prefix& value)
    {
        return with(key,
                    std::string_view(transport::format_address(value.address) +
                                     "/" + std::to_string(value.length)));
    }

    template <typename Value>
    item_writer& with(std::string_view key, const std::optional<Value>& value)
    {
        return value ? with(key, *value) : *this;
    }

    /// Quoted, because other YAML readers take a name such as 7 or true for a
    /// number or a boolean.
    item_writer& with(std::string_view key,
                      const document::located<std::string>& value)
    {
        return with(key, std::string_view('"' + value.value + '"'));
    }

    std::string text() const { return "{" + text_ + "}"; }

private:
    std::string text_;
};

std::string format_item(const service_addition& item)
{
    const service& values = item.defaults;
    return item_writer()
        .with("name", item.name)
        .with("address",
              std::string_view(transport::to_string(item.address.value)))
        .with("protocol", name_of(values.protocol))
        .with("idempotent", values.idempotent)
        .with("work", values.work)
        .with("short_limit_ms", values.short_limit_ms)
        .with("hold_limit_ms", values.hold_limit_ms)
        .with("hold_capacity", values.hold_capacity)
        .with("idle_limit_ms", values.idle_limit_ms)
        .text();
}

std::string format_item(const service_change& item)
{
    return item_writer()
        .with("name", item.name)
        .with("idempotent", item.idempotent)
        .with("work", item.work)
        .with("short_limit_ms", item.short_limit_ms)
        .with("hold_limit_ms", item.hold_limit_ms)
        .with("hold_capacity", item.hold_capacity)
        .with("idle_limit_ms", item.idle_limit_ms)
        .text();
}

std::string format_item(const rule_addition& item)
{
    item_writer writer;
    writer.with("name", item.name)
        .with("service", item.service)
        .with("source", item.source)
        .with("work", item.work)
        .with("action", item.action);
    if (item.action == rule_action::share)
    {
        writer.with("share_percent", item.share_percent);
    }
    return writer.text();
}

std::string format_item(const rule_change& item)
{
    return item_writer()
        .with("name", item.name)
        .with("source", item.source)
        .with("work", item.work)
        .with("action", item.action)
        .with("share_percent", item.share_percent)
        .text();
}

std::string format_item(const upstream_change& item)
{
    return item_writer()
        .with("service", item.service)
        .with("name", item.name)
        .with("weight", item.weight)
        .with("drain", item.drain)
        .text();
}

std::string format_withdrawn(const upstream_change& item)
{
    return item_writer()
        .with("service", item.service)
        .with("name", item.name)
        .text();
}

std::string format_name(const document::located<std::string>& name)
{
    return '"' + name.value + '"';
}

template <typename Item>
std::string format_list(std::string_view key, const std::vector<Item>& items,
                        std::string (*format)(const Item&))
{
    if (items.empty())
    {
        return "";
    }
    std::string text = "  " + std::string(key) + ":\n";
    for (const Item& item : items)
    {
        text += "    - " + format(item) + "\n";
    }
    return text;
}

std::string format_section(std::string_view key, const std::string& lists)
{
    return lists.empty() ? "" : std::string(key) + ":\n" + lists;
}

/// The order of withdrawn names has no meaning.
std::vector<document::located<std::string>>
sorted(std::vector<document::located<std::string>> names)
{
    std::sort(names.begin(), names.end(),
              [](const auto& left, const auto& right)
              { return left.value < right.value; });
    return names;
}

std::string to_hex(std::uint64_t value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit)
    {
        *digit = digits[value & 0xf];
        value >>= 4;
    }
    return text;
}

} // namespace

std::string to_canonical_text(const release_note& note)
{
    return "number: " + std::to_string(note.number) + "\n" +
           format_section(
               "added",
               format_list("services", note.added_services, &format_item) +
                   format_list("rules", note.added_rules, &format_item)) +
           format_section(
               "changed",
               format_list("services", note.changed_services, &format_item) +
                   format_list("rules", note.changed_rules, &format_item) +
                   format_list("upstreams", note.changed_upstreams,
                               &format_item)) +
           format_section("withdrawn",
                          format_list("services",
                                      sorted(note.withdrawn_services),
                                      &format_name) +
                              format_list("rules", sorted(note.withdrawn_rules),
                                          &format_name) +
                              format_list("upstreams", note.withdrawn_upstreams,
                                          &format_withdrawn));
}

std::string compute_digest(const release_note& note)
{
    const std::string text = to_canonical_text(note);
    return to_hex(hash_text(text, first_digest_seed)) +
           to_hex(hash_text(text, second_digest_seed));
}

} // namespace boragestand::state
