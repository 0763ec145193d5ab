#pragma once

#include "base/base.hpp"

#include <netinet/in.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragestand::transport
{

/// An IPv4 address with a port, both in host byte order.
struct endpoint
{
    std::uint32_t address{0};
    std::uint16_t port{0};

    auto operator<=>(const endpoint&) const = default;
};

/// Parses "A.B.C.D:PORT"; error_kind::invalid_argument if it is malformed.
result<endpoint> parse_endpoint(std::string_view text);

/// Parses "A.B.C.D" to host byte order; error_kind::invalid_argument if it is
/// malformed.
result<std::uint32_t> parse_address(std::string_view text);

/// Formats an endpoint as "A.B.C.D:PORT".
std::string to_string(const endpoint& value);

/// Formats an address in host byte order as "A.B.C.D".
std::string format_address(std::uint32_t address);

/// Converts an endpoint to a socket address.
sockaddr_in to_sockaddr(const endpoint& value);

/// Converts a socket address to an endpoint.
endpoint from_sockaddr(const sockaddr_in& value);

} // namespace boragestand::transport
