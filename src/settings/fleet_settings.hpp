#pragma once

#include "document/document.hpp"
#include "settings/log_level.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::settings
{

/// Settings of an instance of a fleet whose instances discover each other.
/// Entry and control instances use the same file format; addresses are given as
/// "A.B.C.D:PORT".
struct fleet_settings
{
    std::string name;        ///< of the instance, for logs
    std::string data_centre; ///< of the instance
    /// Address for traffic between instances; also identifies the instance.
    std::string internal;
    /// Address on which a control instance listens if a proxy or address
    /// translation forwards internal to it; empty to listen on internal.
    std::string listen;
    std::string packets;       ///< of an entry instance, UDP
    std::string readiness;     ///< of an entry instance, HTTP/1.1
    std::string announcements; ///< of a control instance, HTTP/1.1
    std::string metrics;       ///< HTTP/1.1; empty for none
    /// Control instances to contact first. Only the IP addresses are used: all
    /// instances use the port of internal.
    std::vector<std::string> seeds;
    bool first_start{false};    ///< the whole fleet starts for the first time
    std::string data_directory; ///< of a control instance
    /// Normal interval between heartbeats of an upstream in milliseconds.
    std::uint32_t heartbeat_ms{1200};
    /// Rate of the link of an entry instance in Mbit/s; 0: not limited.
    double link_mbps{0};
    /// Limits of the machine in MB; 0: not known.
    double memory_mb{0};
    double disk_mb{0};
    /// All data centres of the deployment; empty if they are not known.
    std::vector<std::string> data_centres;
    /// Control instances, and data centres, that the deployment must be able to
    /// lose at once; none if not known.
    std::optional<std::uint32_t> tolerated_instances;
    std::optional<std::uint32_t> tolerated_data_centres;
    /// Optional parts that the deployment asks for; unknown ones are ignored.
    std::vector<std::string> features;
    /// A cold upstream may get up to warmup_overrun times its rate plus
    /// warmup_slack new requests in any second.
    double warmup_overrun{1.0};
    double warmup_slack{0.0};
    /// A director has agreed once and for all that callers may be refused for
    /// whom there is no room.
    bool standing_agreement{false};
    log_settings log;

    auto operator<=>(const fleet_settings&) const = default;

    bool has_feature(std::string_view feature) const;
};

/// Features of fleet_settings.
namespace feature
{

/// Upstreams may be slow or fail although they are healthy by their own word:
/// load and failures are joined over all entry instances.
constexpr std::string_view joined_health = "health";

/// Data centres may be evacuated and cold upstreams have a pace.
constexpr std::string_view places = "places";

} // namespace feature

/// Parses and validates settings; reports all faults at once. Never throws.
document::checked<fleet_settings> read_fleet_settings(std::string_view yaml);

/// The settings as YAML with all defaults filled in.
std::string to_yaml(const fleet_settings& settings);

} // namespace boragestand::settings
