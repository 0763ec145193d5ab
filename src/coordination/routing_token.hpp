#pragma once

#include "base/base.hpp"

#include <cstdint>

namespace boragestand::coordination
{

/// What callers and upstreams return with each packet of a flow. It names the
/// upstream and its incarnation, so that any instance that knows the upstream
/// can send the packet on without a record of the flow. 0 means none.
using routing_token = std::uint32_t;

/// The token of one incarnation of an upstream; never 0. Two upstreams can have
/// the same one: token_router does not place flows on the later of them.
constexpr routing_token token_of(std::uint64_t upstream,
                                 std::uint64_t incarnation)
{
    // Mixed one after the other: close identities and times would cancel out.
    const auto mixed = mix_hashes(mix_hashes(upstream, 0), incarnation);
    const auto token = static_cast<routing_token>(mixed) ^
                       static_cast<routing_token>(mixed >> 32);
    return token == 0 ? 1 : token;
}

} // namespace boragestand::coordination
