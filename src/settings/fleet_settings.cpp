#include "settings/fleet_settings.hpp"

#include "settings/settings_reader.hpp"
#include "settings/yaml_writer.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace boragestand::settings
{

namespace
{

using document::fault_list;
using document::mapping_reader;
using document::presence;

constexpr document::number_range heartbeat_range{50, 60000};

// Settings templates leave the addresses that an instance lacks empty.
std::optional<std::string> check_optional_endpoint(std::string_view text)
{
    return text.empty() ? std::nullopt : check_endpoint(text);
}

constexpr double max_link_mbps = 1e6;
constexpr double max_megabytes = 1e6;
constexpr double max_warmup_value = 1000;
constexpr std::uint32_t max_tolerated = 1000;

// Empty text counts as 0.
std::optional<double> parse_decimal(std::string_view text, double max)
{
    double value = 0;
    const auto* const last = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data(), last, value);
    const bool valid = text.empty() || (fault == std::errc{} && end == last &&
                                        value >= 0 && value <= max);
    return valid ? std::optional(value) : std::nullopt;
}

std::optional<std::string> check_link_rate(std::string_view text)
{
    return parse_decimal(text, max_link_mbps)
               ? std::nullopt
               : std::optional<std::string>("a rate from 0 to 1000000 Mbit/s");
}

std::optional<std::string> check_megabytes(std::string_view text)
{
    return parse_decimal(text, max_megabytes)
               ? std::nullopt
               : std::optional<std::string>("a size from 0 to 1000000 MB");
}

std::optional<std::string> check_warmup_value(std::string_view text)
{
    return parse_decimal(text, max_warmup_value)
               ? std::nullopt
               : std::optional<std::string>("a number from 0 to 1000");
}

// Settings templates leave a value empty where there is none; the default
// stays then.
void read_decimal(mapping_reader& root, std::string_view key,
                  document::text_check check, double& target)
{
    std::string text;
    if (root.read_text(key, presence::optional, check, text) && !text.empty())
    {
        // check has bounded the value.
        target = parse_decimal(text, std::numeric_limits<double>::max())
                     .value_or(target);
    }
}

std::optional<std::uint32_t> parse_count(std::string_view text)
{
    std::uint32_t value = 0;
    const auto* const last = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data(), last, value);
    const bool valid =
        fault == std::errc{} && end == last && value <= max_tolerated;
    return valid ? std::optional(value) : std::nullopt;
}

std::optional<std::string> check_count(std::string_view text)
{
    return text.empty() || parse_count(text)
               ? std::nullopt
               : std::optional<std::string>("a count from 0 to 1000");
}

// Empty text leaves the count unknown.
void read_count(mapping_reader& root, std::string_view key,
                std::optional<std::uint32_t>& target)
{
    std::string text;
    if (root.read_text(key, presence::optional, check_count, text))
    {
        target = parse_count(text);
    }
}

std::string to_text(const std::optional<std::uint32_t>& count)
{
    return count ? std::to_string(*count) : std::string();
}

void read_texts(mapping_reader& root, std::string_view key,
                std::vector<std::string>& target)
{
    root.read_list(key, presence::optional,
                   [&](const YAML::Node& node, const std::string& path)
                   {
                       if (!node.IsScalar() || node.Scalar().empty())
                       {
                           root.add_fault(key, path + ": expected a name");
                           return;
                       }
                       target.push_back(node.Scalar());
                   });
}

void read_addresses(mapping_reader& root, fleet_settings& settings)
{
    auto reader = root.read_mapping("addresses", presence::required);
    if (!reader)
    {
        return;
    }
    read_endpoint(*reader, "internal", settings.internal);
    const auto read_optional = [&](std::string_view key, std::string& target)
    {
        reader->read_text(key, presence::optional, check_optional_endpoint,
                          target);
    };
    read_optional("listen", settings.listen);
    read_optional("packets", settings.packets);
    read_optional("readiness", settings.readiness);
    read_optional("announcements", settings.announcements);
    read_optional("metrics", settings.metrics);
    reader->finish();
}

void read_seeds(mapping_reader& root, fleet_settings& settings)
{
    root.read_list(
        "seeds", presence::required,
        [&](const YAML::Node& node, const std::string& path)
        {
            const auto text = node.IsScalar() ? node.Scalar() : std::string();
            if (const auto expected = check_endpoint(text))
            {
                root.add_fault("seeds", path + ": expected " + *expected);
                return;
            }
            settings.seeds.push_back(text);
        });
}

// The shortest text that is read back to the same number.
std::string to_text(double value)
{
    std::array<char, 32> buffer{};
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

void check_role(mapping_reader& root, const fleet_settings& settings)
{
    const bool entry = !settings.packets.empty();
    const bool control = !settings.announcements.empty();
    if (entry == control)
    {
        root.add_fault("addresses",
                       "give either packets (an entry instance) or "
                       "announcements (a control instance)");
    }
    if (entry && settings.readiness.empty())
    {
        root.add_fault("addresses", "an entry instance needs readiness");
    }
    if (control && settings.data_directory.empty())
    {
        root.add_fault("data_directory",
                       "a control instance needs a data directory");
    }
    if (settings.seeds.empty())
    {
        root.add_fault("seeds", "at least one seed is needed");
    }
}

fleet_settings read_all(mapping_reader& root)
{
    fleet_settings settings;
    if (auto reader = root.read_mapping("instance", presence::required))
    {
        reader->read_text("name", presence::required, document::check_name,
                          settings.name);
        reader->read_text("data_centre", presence::required,
                          document::check_name, settings.data_centre);
        reader->finish();
    }
    read_addresses(root, settings);
    read_seeds(root, settings);
    root.read_flag("first_start", presence::optional, settings.first_start);
    root.read_text("data_directory", presence::optional,
                   document::check_any_text, settings.data_directory);
    root.read_integer("heartbeat_ms", presence::optional, heartbeat_range,
                      settings.heartbeat_ms);
    read_decimal(root, "link_mbps", check_link_rate, settings.link_mbps);
    read_decimal(root, "memory_mb", check_megabytes, settings.memory_mb);
    read_decimal(root, "disk_mb", check_megabytes, settings.disk_mb);
    read_texts(root, "data_centres", settings.data_centres);
    read_count(root, "tolerated_instances", settings.tolerated_instances);
    read_count(root, "tolerated_data_centres", settings.tolerated_data_centres);
    read_texts(root, "features", settings.features);
    read_decimal(root, "warmup_overrun", check_warmup_value,
                 settings.warmup_overrun);
    read_decimal(root, "warmup_slack", check_warmup_value,
                 settings.warmup_slack);
    root.read_flag("standing_agreement", presence::optional,
                   settings.standing_agreement);
    read_log(root, settings.log);
    root.finish();
    return settings;
}

} // namespace

bool fleet_settings::has_feature(std::string_view feature) const
{
    return std::find(features.begin(), features.end(), feature) !=
           features.end();
}

document::checked<fleet_settings> read_fleet_settings(std::string_view yaml)
{
    fault_list faults;
    const auto node = document::parse_yaml(yaml, max_settings_size, faults);
    if (!node)
    {
        return tl::unexpected(faults.sorted());
    }
    mapping_reader root(*node, "", faults);
    auto settings = read_all(root);
    if (faults.empty())
    {
        check_role(root, settings);
    }
    if (!faults.empty())
    {
        return tl::unexpected(faults.sorted());
    }
    return settings;
}

std::string to_yaml(const fleet_settings& settings)
{
    yaml_writer writer;
    writer
        .mapping("instance",
                 [&]
                 {
                     writer.pair("name", settings.name)
                         .pair("data_centre", settings.data_centre);
                 })
        .mapping("addresses",
                 [&]
                 {
                     writer.pair("internal", settings.internal)
                         .pair("listen", settings.listen)
                         .pair("packets", settings.packets)
                         .pair("readiness", settings.readiness)
                         .pair("announcements", settings.announcements)
                         .pair("metrics", settings.metrics);
                 })
        .texts("seeds", settings.seeds)
        .flag("first_start", settings.first_start)
        .pair("data_directory", settings.data_directory)
        .pair("heartbeat_ms", settings.heartbeat_ms)
        .pair("link_mbps", to_text(settings.link_mbps))
        .pair("memory_mb", to_text(settings.memory_mb))
        .pair("disk_mb", to_text(settings.disk_mb))
        .texts("data_centres", settings.data_centres)
        .pair("tolerated_instances", to_text(settings.tolerated_instances))
        .pair("tolerated_data_centres",
              to_text(settings.tolerated_data_centres))
        .texts("features", settings.features)
        .pair("warmup_overrun", to_text(settings.warmup_overrun))
        .pair("warmup_slack", to_text(settings.warmup_slack))
        .flag("standing_agreement", settings.standing_agreement)
        .mapping("log", [&] { write(writer, settings.log); });
    return writer.text();
}

} // namespace boragestand::settings
