#pragma once

#include "document/document.hpp"
#include "settings/instance_settings.hpp"
#include "settings/log_level.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Parts of settings files that the programs share.
namespace boragestand::settings
{

/// Largest settings file in bytes; 5,000 members need less than 1 MiB.
constexpr std::size_t max_settings_size = 4 * 1024 * 1024;

/// Accepts "A.B.C.D:PORT" with a port from 1 to 65535.
std::optional<std::string> check_endpoint(std::string_view text);

/// Accepts a string that is not empty.
std::optional<std::string> check_not_empty(std::string_view text);

/// Accepts a path that starts with '/' and has no spaces.
std::optional<std::string> check_url_path(std::string_view text);

/// Valid instance ids; 0 means none.
constexpr document::number_range instance_ids{1, 4294967295};

/// Reads the keys id and name.
void read_identity(document::mapping_reader& reader, std::uint32_t& id,
                   std::string& name);

/// Reads the keys id, name and data_centre.
void read_instance(document::mapping_reader& reader, instance_settings& target);

/// Reads an endpoint that check_endpoint accepts.
void read_endpoint(document::mapping_reader& reader, std::string_view key,
                   std::string& target);

/// Reads the optional mapping with the key log.
void read_log(document::mapping_reader& root, log_settings& target);

/// Reports duplicate values with the line of their first occurrence.
class uniqueness_check
{
public:
    /// what is the kind of value in messages, such as "id" or "TCP endpoint".
    uniqueness_check(std::string what, document::fault_list& faults)
        : what_(std::move(what)), faults_(faults)
    {
    }

    /// Adds a fault at the key if the value occurred before.
    void check(const document::mapping_reader& reader, std::string_view key,
               const std::string& value);

private:
    std::string what_;
    document::fault_list& faults_;
    std::map<std::string, document::position> first_;
};

/// Values that must be unique among control members.
struct control_uniqueness
{
    explicit control_uniqueness(document::fault_list& faults)
        : ids("id", faults), names("name", faults), http("endpoint", faults)
    {
    }

    uniqueness_check ids;
    uniqueness_check names;
    uniqueness_check http;
};

/// Reads a list of control instances, which must not be empty.
void read_control_members(document::mapping_reader& root, std::string_view key,
                          document::fault_list& faults,
                          std::vector<control_member>& members);

} // namespace boragestand::settings
