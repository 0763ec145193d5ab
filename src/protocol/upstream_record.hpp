#pragma once

#include "base/base.hpp"
#include "transport/transport.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace boragestand::protocol
{

/// Whether an upstream accepts new flows.
enum class upstream_state : std::uint8_t
{
    ready = 0,
    draining = 1,
    withdrawn = 2
};

/// The announcement of an upstream. Of two records with the same service and
/// upstream, the one with the greater (incarnation, sequence) wins. A record is
/// a lease: it expires if it is not renewed within lease_ms.
struct upstream_record
{
    service_id service;
    upstream_id upstream;
    std::string name;
    transport::endpoint address; ///< destination of Geneve datagrams
    data_centre_id data_centre;
    std::uint64_t incarnation{0}; ///< start time of the upstream, ms since 1970
    std::uint64_t sequence{0};    ///< increases with each announcement
    upstream_state state{upstream_state::ready};
    std::uint16_t slots{2};          ///< requests that it runs concurrently
    std::uint32_t connections{2000}; ///< maximum number of open flows
    std::uint16_t weight{100};       ///< share of traffic, 100 is normal
    std::uint32_t warmup_ms{0};      ///< time until it receives its full weight
    std::uint32_t lease_ms{3000};    ///< valid for this long after renewal

    auto operator<=>(const upstream_record&) const = default;
};

/// Derives the identity of an upstream from its name, so that it is stable
/// across restarts.
upstream_id upstream_id_of(std::string_view name);

} // namespace boragestand::protocol
