#include "state/release_note.hpp"

#include <array>
#include <charconv>

namespace boragestand::state
{

namespace
{

using document::fault_list;
using document::mapping_reader;
using document::presence;

constexpr std::array<std::string_view, 3> work_names{"any", "short", "long"};
constexpr std::array<std::string_view, 2> protocol_names{"tcp", "udp"};
constexpr std::array<std::string_view, 3> action_names{"accept", "share",
                                                       "refuse"};

constexpr document::number_range short_limits{1, 3600000};
constexpr document::number_range hold_limits{0, 600000};
constexpr document::number_range hold_capacities{0, 1000000};
constexpr document::number_range idle_limits{1000, 86400000};
constexpr document::number_range share_percents{1, 100};
constexpr document::number_range weights{1, 10000};

std::optional<std::string> check_endpoint(std::string_view text)
{
    const auto parsed = transport::parse_endpoint(text);
    if (parsed && parsed->port != 0)
    {
        return std::nullopt;
    }
    return "an IPv4 address and port such as 10.0.0.1:443";
}

result<source_prefix> parse_prefix(std::string_view text)
{
    const std::size_t slash = text.find('/');
    const auto address = transport::parse_address(text.substr(0, slash));
    const std::string_view digits =
        slash == text.npos ? "32" : text.substr(slash + 1);
    unsigned length = 0;
    const auto [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (!address || status != std::errc() ||
        end != digits.data() + digits.size() || length > 32)
    {
        return failure(error_kind::invalid_argument, "not an IPv4 prefix");
    }
    const std::uint64_t host_bits = (std::uint64_t{1} << (32 - length)) - 1;
    if ((*address & host_bits) != 0)
    {
        return failure(error_kind::invalid_argument, "host bits are set");
    }
    return source_prefix{*address, static_cast<std::uint8_t>(length)};
}

std::optional<std::string> check_prefix(std::string_view text)
{
    if (parse_prefix(text))
    {
        return std::nullopt;
    }
    return "an IPv4 prefix without host bits such as 10.9.0.0/16";
}

template <typename Choice>
bool read_choice(mapping_reader& reader, std::string_view key, presence wanted,
                 std::span<const std::string_view> names, Choice& target)
{
    std::size_t index = 0;
    if (!reader.read_choice(key, wanted, names, index))
    {
        return false;
    }
    target = static_cast<Choice>(index);
    return true;
}

template <typename Value, typename Read>
void read_optional(std::optional<Value>& target, Read read)
{
    Value value{};
    if (read(value))
    {
        target = value;
    }
}

void read_optional_number(mapping_reader& reader, std::string_view key,
                          document::number_range range, auto& target)
{
    read_optional(
        target, [&](auto& value)
        { return reader.read_integer(key, presence::optional, range, value); });
}

bool read_name(mapping_reader& reader, std::string_view key,
               document::located<std::string>& target)
{
    return reader.read_text(key, presence::required, document::check_name,
                            target);
}

bool read_source(mapping_reader& reader, source_prefix& target)
{
    std::string text;
    if (!reader.read_text("source", presence::optional, check_prefix, text))
    {
        return false;
    }
    target = *parse_prefix(text);
    return true;
}

void read_service_limits(mapping_reader& reader, service& target)
{
    const presence optional = presence::optional;
    reader.read_flag("idempotent", optional, target.idempotent);
    read_choice(reader, "work", optional, work_names, target.work);
    reader.read_integer("short_limit_ms", optional, short_limits,
                        target.short_limit_ms);
    reader.read_integer("hold_limit_ms", optional, hold_limits,
                        target.hold_limit_ms);
    reader.read_integer("hold_capacity", optional, hold_capacities,
                        target.hold_capacity);
    reader.read_integer("idle_limit_ms", optional, idle_limits,
                        target.idle_limit_ms);
}

void read_item(mapping_reader& reader, std::vector<service_addition>& items)
{
    service_addition item;
    const bool named = read_name(reader, "name", item.name);
    std::string address;
    item.address.where = reader.where("address");
    if (reader.read_text("address", presence::required, check_endpoint,
                         address))
    {
        item.address.value = *transport::parse_endpoint(address);
    }
    std::size_t protocol = 0;
    reader.read_choice("protocol", presence::required, protocol_names,
                       protocol);
    item.defaults.protocol =
        protocol == 0 ? protocol::ip_protocol::tcp : protocol::ip_protocol::udp;
    read_service_limits(reader, item.defaults);
    if (named)
    {
        items.push_back(item);
    }
}

void read_item(mapping_reader& reader, std::vector<service_change>& items)
{
    service_change item;
    const bool named = read_name(reader, "name", item.name);
    read_optional(
        item.idempotent, [&](bool& value)
        { return reader.read_flag("idempotent", presence::optional, value); });
    read_optional(item.work,
                  [&](auto& value) {
                      return read_choice(reader, "work", presence::optional,
                                         work_names, value);
                  });
    read_optional_number(reader, "short_limit_ms", short_limits,
                         item.short_limit_ms);
    read_optional_number(reader, "hold_limit_ms", hold_limits,
                         item.hold_limit_ms);
    read_optional_number(reader, "hold_capacity", hold_capacities,
                         item.hold_capacity);
    read_optional_number(reader, "idle_limit_ms", idle_limits,
                         item.idle_limit_ms);
    if (named)
    {
        items.push_back(item);
    }
}

void check_share(mapping_reader& reader, std::optional<rule_action> action,
                 bool has_share)
{
    if (action && *action != rule_action::share && has_share)
    {
        reader.add_fault("share_percent", "only allowed with action share");
    }
}

void read_item(mapping_reader& reader, std::vector<rule_addition>& items)
{
    rule_addition item;
    const bool named = read_name(reader, "name", item.name);
    const bool placed = read_name(reader, "service", item.service);
    read_source(reader, item.source);
    read_choice(reader, "work", presence::optional, work_names, item.work);
    std::optional<rule_action> action;
    read_optional(action,
                  [&](auto& value)
                  {
                      return read_choice(reader, "action", presence::required,
                                         action_names, value);
                  });
    item.action = action.value_or(rule_action::accept);
    const presence share = item.action == rule_action::share
                               ? presence::required
                               : presence::optional;
    reader.read_integer("share_percent", share, share_percents,
                        item.share_percent);
    check_share(reader, action, reader.has("share_percent"));
    if (named && placed)
    {
        items.push_back(item);
    }
}

void read_item(mapping_reader& reader, std::vector<rule_change>& items)
{
    rule_change item;
    const bool named = read_name(reader, "name", item.name);
    read_optional(item.source, [&](source_prefix& value)
                  { return read_source(reader, value); });
    read_optional(item.work,
                  [&](auto& value) {
                      return read_choice(reader, "work", presence::optional,
                                         work_names, value);
                  });
    read_optional(item.action,
                  [&](auto& value)
                  {
                      return read_choice(reader, "action", presence::optional,
                                         action_names, value);
                  });
    read_optional_number(reader, "share_percent", share_percents,
                         item.share_percent);
    check_share(reader, item.action, reader.has("share_percent"));
    if (named)
    {
        items.push_back(item);
    }
}

bool read_upstream_name(mapping_reader& reader, upstream_change& item)
{
    const bool placed = read_name(reader, "service", item.service);
    return read_name(reader, "name", item.name) && placed;
}

void read_item(mapping_reader& reader, std::vector<upstream_change>& items)
{
    upstream_change item;
    const bool named = read_upstream_name(reader, item);
    read_optional_number(reader, "weight", weights, item.weight);
    read_optional(
        item.drain, [&](bool& value)
        { return reader.read_flag("drain", presence::optional, value); });
    if (!reader.has("weight") && !reader.has("drain"))
    {
        reader.add_fault("name", "expected weight or drain with it");
    }
    if (named)
    {
        items.push_back(item);
    }
}

template <typename Item>
void read_items(mapping_reader& part, std::string_view key, fault_list& faults,
                std::vector<Item>& items)
{
    part.read_list(key, presence::optional,
                   [&](const YAML::Node& node, const std::string& path)
                   {
                       mapping_reader reader(node, path, faults);
                       read_item(reader, items);
                       reader.finish();
                   });
}

void read_withdrawn_names(mapping_reader& part, std::string_view key,
                          fault_list& faults,
                          std::vector<document::located<std::string>>& names)
{
    part.read_list(
        key, presence::optional,
        [&](const YAML::Node& node, const std::string& path)
        {
            const auto expected = node.IsScalar()
                                      ? document::check_name(node.Scalar())
                                      : std::optional<std::string>("a name");
            if (expected)
            {
                faults.add(document::position_of(node),
                           path + ": expected " + *expected + ", found " +
                               document::describe(node));
                return;
            }
            names.push_back({node.Scalar(), document::position_of(node)});
        });
}

void read_withdrawn_upstreams(mapping_reader& part, fault_list& faults,
                              std::vector<upstream_change>& items)
{
    part.read_list("upstreams", presence::optional,
                   [&](const YAML::Node& node, const std::string& path)
                   {
                       mapping_reader reader(node, path, faults);
                       upstream_change item;
                       item.drain = true;
                       if (read_upstream_name(reader, item))
                       {
                           items.push_back(item);
                       }
                       reader.finish();
                   });
}

void read_parts(mapping_reader& root, release_note& note, fault_list& faults)
{
    if (auto part = root.read_mapping("added", presence::optional))
    {
        read_items(*part, "services", faults, note.added_services);
        read_items(*part, "rules", faults, note.added_rules);
        part->finish();
    }
    if (auto part = root.read_mapping("changed", presence::optional))
    {
        read_items(*part, "services", faults, note.changed_services);
        read_items(*part, "rules", faults, note.changed_rules);
        read_items(*part, "upstreams", faults, note.changed_upstreams);
        part->finish();
    }
    if (auto part = root.read_mapping("withdrawn", presence::optional))
    {
        read_withdrawn_names(*part, "services", faults,
                             note.withdrawn_services);
        read_withdrawn_names(*part, "rules", faults, note.withdrawn_rules);
        read_withdrawn_upstreams(*part, faults, note.withdrawn_upstreams);
        part->finish();
    }
}

bool changes_nothing(const release_note& note)
{
    release_note empty;
    empty.number = note.number;
    return note == empty;
}

} // namespace

std::string_view name_of(protocol::request_class work)
{
    return work_names[static_cast<std::size_t>(work)];
}

std::string_view name_of(protocol::ip_protocol protocol)
{
    return protocol_names[protocol == protocol::ip_protocol::tcp ? 0 : 1];
}

std::string_view name_of(rule_action action)
{
    return action_names[static_cast<std::size_t>(action)];
}

release_note read_release_note(std::string_view text, fault_list& faults)
{
    release_note note;
    const auto node = document::parse_yaml(text, max_note_size, faults);
    if (!node)
    {
        return note;
    }
    mapping_reader root(*node, "", faults);
    root.read_number("number", presence::required, {1, max_note_number},
                     note.number);
    read_parts(root, note, faults);
    root.finish();
    if (faults.empty() && changes_nothing(note))
    {
        faults.add(root.start(),
                   "expected at least one item that is added, changed or "
                   "withdrawn");
    }
    return note;
}

} // namespace boragestand::state
