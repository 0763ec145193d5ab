#pragma once

#include "base/base.hpp"
#include "transport/transport.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace boragestand::protocol
{

/// Whether an upstream asks for new work.
enum class upstream_state : std::uint8_t
{
    ready = 0,
    draining = 1,
    withdrawn = 2
};

/// An upstream as it announced itself. Records with the same service and
/// upstream are ordered by (incarnation, sequence); the greater one wins.
struct upstream_record
{
    service_id service;
    upstream_id upstream;
    std::string name;
    transport::endpoint address; ///< where Geneve datagrams go
    data_centre_id data_centre;
    std::uint64_t incarnation{0}; ///< start of the upstream, ms since 1970
    std::uint64_t sequence{0};    ///< grows with each announcement
    upstream_state state{upstream_state::ready};
    std::uint16_t slots{2};          ///< requests it runs at once
    std::uint32_t connections{2000}; ///< flows it can hold open
    std::uint16_t weight{100};       ///< share of traffic, 100 is normal
    std::uint32_t warmup_ms{0};      ///< time to reach full weight
    std::uint32_t lease_ms{3000};    ///< valid for this long after renewal

    auto operator<=>(const upstream_record&) const = default;
};

/// Identity of the upstream with this name; stable across restarts.
upstream_id upstream_id_of(std::string_view name);

} // namespace boragestand::protocol
