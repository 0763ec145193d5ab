#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragestand::standins
{

/// A request of a caller. On the wire it is one line of text.
struct request
{
    std::uint64_t id{0};          ///< unique in a run of all callers
    std::string service;          ///< that the caller means
    std::uint32_t work_ms{0};     ///< time that it occupies a slot
    std::uint32_t bytes{0};       ///< of the response body
    bool is_long{false};          ///< the body is sent in parts while it runs
    std::uint32_t deadline_ms{0}; ///< not started later than this; 0 is none
};

/// What an upstream says about a request.
enum class outcome
{
    ok,
    shed,   ///< not run: the upstream had too much work
    expired ///< not run: the deadline had passed
};

/// The first line of a response; the body follows.
struct response_head
{
    outcome result{outcome::ok};
    std::uint64_t id{0};
    std::string service;
    std::string upstream;
    std::uint32_t bytes{0};
};

/// Text of a request, with the line end.
std::string to_line(const request& value);

/// Text of a response head, with the line end.
std::string to_line(const response_head& value);

/// Reads a line without its end; nothing if it is not a request.
std::optional<request> parse_request(std::string_view line);

/// Reads a line without its end; nothing if it is not a response head.
std::optional<response_head> parse_response_head(std::string_view line);

/// Part of the body of the response to a request, which differs for each
/// request, so that bytes of another response are noticed.
std::string body_part(std::uint64_t id, std::uint32_t offset,
                      std::uint32_t size);

/// Takes the first whole line off the text, without its end.
std::optional<std::string> take_line(std::string& text);

} // namespace boragestand::standins
