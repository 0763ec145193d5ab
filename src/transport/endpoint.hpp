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

/// Parses "A.B.C.D:PORT"; error_kind::invalid_argument if it is not that.
result<endpoint> parse_endpoint(std::string_view text);

/// Parses "A.B.C.D" to host byte order; error_kind::invalid_argument if it is
/// not that.
result<std::uint32_t> parse_address(std::string_view text);

/// "A.B.C.D:PORT".
std::string to_string(const endpoint& value);

/// "A.B.C.D" of an address in host byte order.
std::string address_text(std::uint32_t address);

/// The socket address of an endpoint.
sockaddr_in to_sockaddr(const endpoint& value);

/// The endpoint of a socket address.
endpoint from_sockaddr(const sockaddr_in& value);

} // namespace boragestand::transport
