#include "transport/endpoint.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace boragestand::transport
{

result<std::uint32_t> parse_address(std::string_view text)
{
    in_addr address{};
    const std::string terminated(text);
    if (terminated.size() != text.size() ||
        inet_pton(AF_INET, terminated.c_str(), &address) != 1)
    {
        return failure(error_kind::invalid_argument,
                       "\"" + terminated + "\" is not an IPv4 address");
    }
    return ntohl(address.s_addr);
}

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto invalid = [text]
    {
        return failure(error_kind::invalid_argument,
                       "\"" + std::string(text) +
                           "\" is not of the form A.B.C.D:PORT");
    };
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        return invalid();
    }
    const auto address = parse_address(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (!address || digits.empty() || parsed.ec != std::errc{} ||
        parsed.ptr != digits.data() + digits.size())
    {
        return invalid();
    }
    return endpoint{*address, port};
}

std::string format_address(std::uint32_t address)
{
    return std::to_string(address >> 24) + '.' +
           std::to_string((address >> 16) & 0xff) + '.' +
           std::to_string((address >> 8) & 0xff) + '.' +
           std::to_string(address & 0xff);
}

std::string to_string(const endpoint& value)
{
    return format_address(value.address) + ':' + std::to_string(value.port);
}

sockaddr_in to_sockaddr(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(value.address);
    address.sin_port = htons(value.port);
    return address;
}

endpoint from_sockaddr(const sockaddr_in& value)
{
    return {ntohl(value.sin_addr.s_addr), ntohs(value.sin_port)};
}

} // namespace boragestand::transport
