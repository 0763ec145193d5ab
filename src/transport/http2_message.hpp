#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace boragestand::transport
{

/// Largest request or response body in bytes that is buffered as a whole.
constexpr std::size_t max_body_size = 8 * 1024 * 1024;

/// Header fields by lower-case name, without pseudo headers.
using http_headers = std::map<std::string, std::string>;

/// An HTTP request with its complete body.
struct http_request
{
    std::string method{"GET"};
    std::string path{"/"};
    http_headers headers{};
    std::string body{};

    auto operator<=>(const http_request&) const = default;
};

/// An HTTP response with its complete body.
struct http_response
{
    int status{200};
    http_headers headers{};
    std::string body{};

    auto operator<=>(const http_response&) const = default;
};

} // namespace boragestand::transport
