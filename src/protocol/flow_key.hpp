#pragma once

#include "base/base.hpp"
#include "transport/transport.hpp"

#include <compare>
#include <cstdint>

namespace boragestand::protocol
{

/// Transport protocol of an inner packet, as its IP protocol number.
enum class ip_protocol : std::uint8_t
{
    tcp = 6,
    udp = 17
};

/// Identifies a flow. The service is part of the key, so that a lookup never
/// returns a flow of another service.
struct flow_key
{
    service_id service;
    transport::endpoint caller;
    transport::endpoint destination;
    ip_protocol protocol{ip_protocol::tcp};

    auto operator<=>(const flow_key&) const = default;
};

/// Computes a 64-bit hash over all fields of the key.
std::uint64_t hash_of(const flow_key& key);

} // namespace boragestand::protocol
