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

/// Endpoints of an entry instance as "A.B.C.D:PORT".
struct entry_addresses
{
    std::string fabric; ///< UDP, Geneve
    std::string peers;  ///< UDP, control messages between entry instances
    std::string http;   ///< TCP, HTTP/2

    auto operator<=>(const entry_addresses&) const = default;
};

/// An entry instance as listed in the settings of its peers.
struct entry_member
{
    instance_settings instance;
    entry_addresses addresses;

    auto operator<=>(const entry_member&) const = default;
};

/// Limits for the routing decisions of an entry instance. The defaults are
/// those of the router and its traffic policy.
struct entry_limits
{
    std::uint32_t probe_interval_ms{300};
    std::uint32_t probe_timeout_ms{100};
    std::uint32_t suspicion_timeout_ms{900};
    std::uint32_t pin_age_ms{1000};
    std::uint32_t pin_bytes_per_second{2000};
    std::uint32_t handover_bytes_per_second{200000};
    std::uint32_t flow_capacity{600000};
    std::uint32_t ejection_percent{33};
    std::uint32_t imbalance_percent{105};
    std::uint32_t aging_limit_ms{2000};
    std::uint64_t seed{1};

    auto operator<=>(const entry_limits&) const = default;
};

/// Settings of boragestand-entry.
struct entry_settings
{
    instance_settings instance;
    entry_addresses addresses;
    std::string callers_via; ///< Geneve endpoint of the fabric
    std::vector<entry_member> members;
    std::vector<control_member> control;
    log_settings log;
    entry_limits limits;

    auto operator<=>(const entry_settings&) const = default;
};

/// Parses and validates settings; reports all faults at once. Never throws.
document::checked<entry_settings> read_entry_settings(std::string_view yaml);

/// The settings as YAML with all defaults filled in.
std::string to_yaml(const entry_settings& settings);

} // namespace boragestand::settings
