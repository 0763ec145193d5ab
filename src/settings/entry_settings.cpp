#include "settings/entry_settings.hpp"

#include "settings/settings_reader.hpp"
#include "settings/yaml_writer.hpp"

#include <algorithm>

namespace boragestand::settings
{

namespace
{

using document::fault_list;
using document::mapping_reader;
using document::presence;

/// Values that must be unique among entry instances. UDP and TCP ports do not
/// conflict with each other.
struct member_uniqueness
{
    explicit member_uniqueness(fault_list& faults)
        : ids("id", faults)
        , names("name", faults)
        , udp("UDP endpoint", faults)
        , tcp("TCP endpoint", faults)
    {
    }

    uniqueness_check ids;
    uniqueness_check names;
    uniqueness_check udp;
    uniqueness_check tcp;
};

void read_addresses(mapping_reader& reader, entry_addresses& target)
{
    read_endpoint(reader, "fabric", target.fabric);
    read_endpoint(reader, "peers", target.peers);
    read_endpoint(reader, "http", target.http);
}

void check_member_unique(const mapping_reader& reader,
                         const entry_member& member, member_uniqueness& unique)
{
    const std::uint32_t id = member.instance.id;
    unique.ids.check(reader, "id", id == 0 ? "" : std::to_string(id));
    unique.names.check(reader, "name", member.instance.name);
    unique.udp.check(reader, "fabric", member.addresses.fabric);
    unique.udp.check(reader, "peers", member.addresses.peers);
    unique.tcp.check(reader, "http", member.addresses.http);
}

void read_members(mapping_reader& root, fault_list& faults,
                  std::vector<entry_member>& members)
{
    member_uniqueness unique(faults);
    const auto read_member =
        [&](const YAML::Node& node, const std::string& path)
    {
        mapping_reader reader(node, path, faults);
        entry_member& member = members.emplace_back();
        read_instance(reader, member.instance);
        read_addresses(reader, member.addresses);
        reader.finish();
        check_member_unique(reader, member, unique);
    };
    root.read_list("members", presence::required, read_member);
}

void read_limits(mapping_reader& root, entry_limits& target)
{
    auto reader = root.read_mapping("limits", presence::optional);
    if (!reader)
    {
        return;
    }
    const auto read = [&reader](std::string_view key, std::uint64_t min,
                                std::uint64_t max, auto& value)
    {
        reader->read_integer(key, presence::optional, {min, max}, value);
    };
    read("probe_interval_ms", 10, 60000, target.probe_interval_ms);
    read("probe_timeout_ms", 1, 60000, target.probe_timeout_ms);
    read("suspicion_timeout_ms", 10, 600000, target.suspicion_timeout_ms);
    read("pin_age_ms", 0, 600000, target.pin_age_ms);
    read("pin_bytes_per_second", 0, 100000000, target.pin_bytes_per_second);
    read("handover_bytes_per_second", 1000, 1000000000,
         target.handover_bytes_per_second);
    read("flow_capacity", 1000, 100000000, target.flow_capacity);
    read("ejection_percent", 0, 100, target.ejection_percent);
    read("imbalance_percent", 100, 1000, target.imbalance_percent);
    read("aging_limit_ms", 0, 600000, target.aging_limit_ms);
    read("seed", 0, 9007199254740991, target.seed);
    reader->finish();
    if (target.probe_timeout_ms >= target.probe_interval_ms)
    {
        reader->add_fault("probe_timeout_ms",
                          "expected less than probe_interval_ms, " +
                              std::to_string(target.probe_interval_ms));
    }
}

/// Peers use the listed addresses to reach this instance, so its entry in the
/// list must match its own settings.
void check_own_entry(mapping_reader& root, const entry_settings& settings)
{
    const auto self =
        std::find_if(settings.members.begin(), settings.members.end(),
                     [&](const entry_member& each)
                     { return each.instance.id == settings.instance.id; });
    if (self == settings.members.end())
    {
        root.add_fault("members", "expected this instance, id " +
                                      std::to_string(settings.instance.id) +
                                      ", in the list");
        return;
    }
    if (*self != entry_member{settings.instance, settings.addresses})
    {
        root.add_fault("members", "the entry of this instance, id " +
                                      std::to_string(settings.instance.id) +
                                      ", differs from instance and addresses");
    }
}

/// Whether the identity and addresses of this instance were read. If not,
/// comparing them with the list would only repeat faults already reported.
bool has_own_entry_values(const entry_settings& settings)
{
    return settings.instance.id != 0 && !settings.instance.name.empty() &&
           !settings.instance.data_centre.empty() &&
           !settings.addresses.fabric.empty() &&
           !settings.addresses.peers.empty() &&
           !settings.addresses.http.empty();
}

void check_callers_via(mapping_reader& root, const entry_settings& settings)
{
    const bool in_use =
        std::any_of(settings.members.begin(), settings.members.end(),
                    [&](const entry_member& each)
                    { return each.addresses.fabric == settings.callers_via; });
    if (in_use)
    {
        root.add_fault("callers_via",
                       "is the fabric endpoint of an entry instance");
    }
}

void check_control_members(mapping_reader& root, const entry_settings& settings)
{
    for (const control_member& control : settings.control)
    {
        for (const entry_member& member : settings.members)
        {
            if (!control.http.empty() && control.http == member.addresses.http)
            {
                root.add_fault("control", "endpoint " + control.http +
                                              " belongs to entry instance " +
                                              member.instance.name);
            }
            if (control.id != 0 && control.id == member.instance.id)
            {
                root.add_fault("control", "id " + std::to_string(control.id) +
                                              " belongs to entry instance " +
                                              member.instance.name);
            }
        }
    }
}

entry_settings read_all(mapping_reader& root, fault_list& faults)
{
    entry_settings settings;
    if (auto reader = root.read_mapping("instance", presence::required))
    {
        read_instance(*reader, settings.instance);
        reader->finish();
    }
    if (auto reader = root.read_mapping("addresses", presence::required))
    {
        read_addresses(*reader, settings.addresses);
        reader->finish();
    }
    read_endpoint(root, "callers_via", settings.callers_via);
    read_members(root, faults, settings.members);
    read_control_members(root, "control", faults, settings.control);
    read_log(root, settings.log);
    read_limits(root, settings.limits);
    root.finish();
    return settings;
}

void write(yaml_writer& writer, const instance_settings& value)
{
    writer.pair("id", value.id)
        .pair("name", value.name)
        .pair("data_centre", value.data_centre);
}

void write(yaml_writer& writer, const entry_addresses& value)
{
    writer.pair("fabric", value.fabric)
        .pair("peers", value.peers)
        .pair("http", value.http);
}

void write(yaml_writer& writer, const entry_limits& value)
{
    writer.pair("probe_interval_ms", value.probe_interval_ms)
        .pair("probe_timeout_ms", value.probe_timeout_ms)
        .pair("suspicion_timeout_ms", value.suspicion_timeout_ms)
        .pair("pin_age_ms", value.pin_age_ms)
        .pair("pin_bytes_per_second", value.pin_bytes_per_second)
        .pair("handover_bytes_per_second", value.handover_bytes_per_second)
        .pair("flow_capacity", value.flow_capacity)
        .pair("ejection_percent", value.ejection_percent)
        .pair("imbalance_percent", value.imbalance_percent)
        .pair("aging_limit_ms", value.aging_limit_ms)
        .pair("seed", value.seed);
}

} // namespace

document::checked<entry_settings> read_entry_settings(std::string_view yaml)
{
    fault_list faults;
    const auto node = document::parse_yaml(yaml, max_settings_size, faults);
    if (!node)
    {
        return tl::unexpected(faults.sorted());
    }
    mapping_reader root(*node, "", faults);
    entry_settings settings = read_all(root, faults);
    if (has_own_entry_values(settings) && root.has("members"))
    {
        check_own_entry(root, settings);
    }
    if (!settings.callers_via.empty())
    {
        check_callers_via(root, settings);
    }
    check_control_members(root, settings);
    if (!faults.empty())
    {
        return tl::unexpected(faults.sorted());
    }
    return settings;
}

std::string to_yaml(const entry_settings& settings)
{
    yaml_writer writer;
    writer.mapping("instance", [&] { write(writer, settings.instance); })
        .mapping("addresses", [&] { write(writer, settings.addresses); })
        .pair("callers_via", settings.callers_via)
        .list("members", settings.members,
              [&](const entry_member& each)
              {
                  write(writer, each.instance);
                  write(writer, each.addresses);
              })
        .list("control", settings.control,
              [&](const control_member& each) { write(writer, each); })
        .mapping("log", [&] { write(writer, settings.log); })
        .mapping("limits", [&] { write(writer, settings.limits); });
    return writer.text();
}

} // namespace boragestand::settings
