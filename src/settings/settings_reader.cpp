#include "settings/settings_reader.hpp"

#include <array>
#include <charconv>

namespace boragestand::settings
{

namespace
{

using document::mapping_reader;
using document::presence;

/// Removes a number of at most max from the front of text. Returns false if
/// there is none.
bool consume_number(std::string_view& text, unsigned max)
{
    unsigned value = 0;
    const char* const end = text.data() + text.size();
    const auto [next, status] = std::from_chars(text.data(), end, value);
    // A leading zero is read as octal by some programs, so it is not accepted.
    const bool has_leading_zero =
        text.size() > 1 && text[0] == '0' && next > text.data() + 1;
    if (status != std::errc() || value > max || has_leading_zero)
    {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(next - text.data()));
    return true;
}

bool consume_character(std::string_view& text, char expected)
{
    if (text.empty() || text.front() != expected)
    {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

bool is_endpoint(std::string_view text)
{
    for (int part = 0; part < 4; ++part)
    {
        const char separator = part < 3 ? '.' : ':';
        if (!consume_number(text, 255) || !consume_character(text, separator))
        {
            return false;
        }
    }
    return text != "0" && consume_number(text, 65535) && text.empty();
}

} // namespace

std::optional<std::string> check_endpoint(std::string_view text)
{
    if (is_endpoint(text))
    {
        return std::nullopt;
    }
    return "an IPv4 address and port such as 127.0.0.1:7080";
}

std::optional<std::string> check_not_empty(std::string_view text)
{
    if (!text.empty())
    {
        return std::nullopt;
    }
    return "a string that is not empty";
}

std::optional<std::string> check_url_path(std::string_view text)
{
    if (text.starts_with('/') && text.find(' ') == text.npos)
    {
        return std::nullopt;
    }
    return "a path that starts with '/' and has no spaces";
}

void read_identity(mapping_reader& reader, std::uint32_t& id, std::string& name)
{
    reader.read_integer("id", presence::required, instance_ids, id);
    reader.read_text("name", presence::required, document::check_name, name);
}

void read_instance(mapping_reader& reader, instance_settings& target)
{
    read_identity(reader, target.id, target.name);
    reader.read_text("data_centre", presence::required, document::check_name,
                     target.data_centre);
}

void read_endpoint(mapping_reader& reader, std::string_view key,
                   std::string& target)
{
    reader.read_text(key, presence::required, check_endpoint, target);
}

void read_log(mapping_reader& root, log_settings& target)
{
    static constexpr std::array<std::string_view, 4> levels{"error", "warn",
                                                            "info", "debug"};
    auto reader = root.read_mapping("log", presence::optional);
    if (!reader)
    {
        return;
    }
    std::size_t level = static_cast<std::size_t>(target.level);
    reader->read_choice("level", presence::optional, levels, level);
    target.level = static_cast<log_level>(level);
    reader->read_text("file", presence::optional, document::check_any_text,
                      target.file);
    reader->finish();
}

void uniqueness_check::check(const mapping_reader& reader, std::string_view key,
                             const std::string& value)
{
    if (value.empty())
    {
        return;
    }
    const document::position where = reader.where(key);
    const auto [first, added] = first_.try_emplace(value, where);
    if (!added)
    {
        faults_.add(where, what_ + " " + value + " is also given in line " +
                               std::to_string(first->second.line));
    }
}

void read_control_members(mapping_reader& root, std::string_view key,
                          document::fault_list& faults,
                          std::vector<control_member>& members)
{
    control_uniqueness unique(faults);
    const auto read_member =
        [&](const YAML::Node& node, const std::string& path)
    {
        mapping_reader reader(node, path, faults);
        control_member& member = members.emplace_back();
        read_identity(reader, member.id, member.name);
        read_endpoint(reader, "http", member.http);
        reader.finish();
        unique.ids.check(reader, "id",
                         member.id == 0 ? "" : std::to_string(member.id));
        unique.names.check(reader, "name", member.name);
        unique.http.check(reader, "http", member.http);
    };
    if (root.read_list(key, presence::required, read_member) && members.empty())
    {
        root.add_fault(key, "expected at least one control instance");
    }
}

} // namespace boragestand::settings
