#pragma once

#include "base/base.hpp"

#include <cstdint>

namespace boragestand::traffic
{

/// Token that callers and upstreams echo in each packet of a flow. It
/// identifies the upstream and its incarnation, so that any instance that knows
/// the upstream can forward the packet without a flow record. 0 means none.
using routing_token = std::uint32_t;

/// Returns the token of one incarnation of an upstream; never 0. Tokens can
/// collide: token_router places no flows on the upstream that it discovered
/// later.
constexpr routing_token make_routing_token(std::uint64_t upstream,
                                           std::uint64_t incarnation)
{
    // Combining both in one step would make close identities and start times
    // cancel out.
    const auto mixed = mix_hashes(mix_hashes(upstream, 0), incarnation);
    const auto token = static_cast<routing_token>(mixed) ^
                       static_cast<routing_token>(mixed >> 32);
    return token == 0 ? 1 : token;
}

} // namespace boragestand::traffic
