#pragma once

#include "coordination/coordination.hpp"

#include <compare>
#include <string>
#include <string_view>

namespace boragestand::entry
{

/// Endpoint of an upstream that is probed for health or load.
struct probe_target
{
    transport::endpoint address;
    std::string path;

    auto operator<=>(const probe_target&) const = default;
};

/// Content of an upstream's announcement.
struct upstream_announcement
{
    protocol::upstream_record record;
    std::optional<probe_target> health;
    std::optional<probe_target> load;

    auto operator<=>(const upstream_announcement&) const = default;
};

/// Longest name of an upstream or service, in bytes.
constexpr std::size_t max_name_length = 64;

/// Parses the JSON body of an announcement. version orders announcements that
/// carry no sequence of their own. Fails with error_kind::invalid_argument; the
/// message names the invalid member.
result<upstream_announcement> parse_announcement(std::string_view body,
                                                 service_id service,
                                                 std::string_view name,
                                                 data_centre_id data_centre,
                                                 std::uint64_t version);

/// Parses "http://A.B.C.D:PORT/PATH"; fails with error_kind::invalid_argument
/// if the URL has another form.
result<probe_target> parse_probe_url(std::string_view url);

} // namespace boragestand::entry
