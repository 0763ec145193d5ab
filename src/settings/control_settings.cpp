#include "settings/control_settings.hpp"

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

void read_entries(mapping_reader& root, fault_list& faults,
                  std::vector<entry_identity>& entries)
{
    uniqueness_check ids("id", faults);
    uniqueness_check names("name", faults);
    const auto read_entry = [&](const YAML::Node& node, const std::string& path)
    {
        mapping_reader reader(node, path, faults);
        entry_identity& entry = entries.emplace_back();
        read_identity(reader, entry.id, entry.name);
        reader.finish();
        ids.check(reader, "id", entry.id == 0 ? "" : std::to_string(entry.id));
        names.check(reader, "name", entry.name);
    };
    root.read_list("entries", presence::required, read_entry);
}

void read_director(mapping_reader& root, director_settings& target)
{
    auto reader = root.read_mapping("director", presence::required);
    if (!reader)
    {
        return;
    }
    read_endpoint(*reader, "address", target.address);
    reader->read_text("path", presence::optional, check_url_path, target.path);
    reader->finish();
}

control_settings read_all(mapping_reader& root, fault_list& faults)
{
    control_settings settings;
    if (auto reader = root.read_mapping("instance", presence::required))
    {
        read_instance(*reader, settings.instance);
        reader->finish();
    }
    if (auto reader = root.read_mapping("addresses", presence::required))
    {
        read_endpoint(*reader, "http", settings.http);
        reader->finish();
    }
    root.read_text("data_directory", presence::required, check_not_empty,
                   settings.data_directory);
    read_control_members(root, "members", faults, settings.members);
    read_entries(root, faults, settings.entries);
    read_director(root, settings.director);
    read_log(root, settings.log);
    root.finish();
    return settings;
}

/// An instance that joins later is not among the initial members. If this
/// instance is listed, its entry must match its own settings.
void check_own_entry(mapping_reader& root, const control_settings& settings)
{
    for (const control_member& each : settings.members)
    {
        if (each.id == settings.instance.id &&
            (each.name != settings.instance.name || each.http != settings.http))
        {
            root.add_fault("members",
                           "the entry of this instance, id " +
                               std::to_string(each.id) +
                               ", differs from instance and addresses");
        }
        if (each.id != settings.instance.id && each.http == settings.http)
        {
            root.add_fault("addresses", "endpoint " + each.http +
                                            " belongs to member " + each.name);
        }
    }
}

void check_entry_ids(mapping_reader& root, const control_settings& settings)
{
    for (const entry_identity& entry : settings.entries)
    {
        const bool in_use =
            std::any_of(settings.members.begin(), settings.members.end(),
                        [&](const control_member& each)
                        { return entry.id != 0 && each.id == entry.id; });
        if (in_use || entry.id == settings.instance.id)
        {
            root.add_fault("entries", "id " + std::to_string(entry.id) +
                                          " belongs to a control instance");
        }
    }
}

} // namespace

document::checked<control_settings> read_control_settings(std::string_view yaml)
{
    fault_list faults;
    const auto node = document::parse_yaml(yaml, max_settings_size, faults);
    if (!node)
    {
        return tl::unexpected(faults.sorted());
    }
    mapping_reader root(*node, "", faults);
    control_settings settings = read_all(root, faults);
    if (settings.instance.id != 0 && !settings.http.empty())
    {
        check_own_entry(root, settings);
        check_entry_ids(root, settings);
    }
    if (!faults.empty())
    {
        return tl::unexpected(faults.sorted());
    }
    return settings;
}

std::string to_yaml(const control_settings& settings)
{
    yaml_writer writer;
    writer
        .mapping("instance",
                 [&]
                 {
                     writer.pair("id", settings.instance.id)
                         .pair("name", settings.instance.name)
                         .pair("data_centre", settings.instance.data_centre);
                 })
        .mapping("addresses", [&] { writer.pair("http", settings.http); })
        .pair("data_directory", settings.data_directory)
        .list("members", settings.members,
              [&](const control_member& each) { write(writer, each); })
        .list("entries", settings.entries,
              [&](const entry_identity& each)
              { writer.pair("id", each.id).pair("name", each.name); })
        .mapping("director",
                 [&]
                 {
                     writer.pair("address", settings.director.address)
                         .pair("path", settings.director.path);
                 })
        .mapping("log", [&] { write(writer, settings.log); });
    return writer.text();
}

} // namespace boragestand::settings
