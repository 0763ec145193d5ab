#pragma once

#include "document/document.hpp"
#include "settings/instance_settings.hpp"
#include "settings/log_level.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::settings
{

/// An entry instance that must receive every release note.
struct entry_identity
{
    std::uint32_t id{0};
    std::string name;

    auto operator<=>(const entry_identity&) const = default;
};

/// Endpoint at which the director receives wake requests.
struct director_settings
{
    std::string address; ///< TCP, HTTP/2, as "A.B.C.D:PORT"
    std::string path{"/v1/wake"};

    auto operator<=>(const director_settings&) const = default;
};

/// Settings of boragestand-control.
struct control_settings
{
    instance_settings instance;
    std::string http; ///< TCP, HTTP/2, as "A.B.C.D:PORT"
    std::string data_directory;
    std::vector<control_member> members; ///< initial members of the group
    std::vector<entry_identity> entries;
    director_settings director;
    log_settings log;

    auto operator<=>(const control_settings&) const = default;
};

/// Parses and validates settings; reports all faults at once. Never throws.
document::checked<control_settings>
read_control_settings(std::string_view yaml);

/// The settings as YAML with all defaults filled in.
std::string to_yaml(const control_settings& settings);

} // namespace boragestand::settings
