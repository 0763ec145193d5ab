#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragestand::standins
{

/// A request of a caller, sent as one line of text.
struct request
{
    std::uint64_t id{0};          ///< unique among all callers of a test run
    std::string service;          ///< name of the addressed service
    std::uint32_t work_ms{0};     ///< time for which it occupies a slot
    std::uint32_t bytes{0};       ///< size of the response body
    bool is_long{false};          ///< the body is streamed while it runs
    std::uint32_t deadline_ms{0}; ///< latest start after its arrival; 0 is none
};

/// Outcome of a request that an upstream reports.
enum class outcome
{
    ok,
    shed,   ///< not run: the queue of the upstream was full
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

/// Encodes a request as a line, including the line end.
std::string to_line(const request& value);

/// Encodes a response head as a line, including the line end.
std::string to_line(const response_head& value);

/// Parses a line without its line end; empty if it is not a request.
std::optional<request> parse_request(std::string_view line);

/// Parses a line without its line end; empty if it is not a response head.
std::optional<response_head> parse_response_head(std::string_view line);

/// Returns part of the response body of a request. Bodies differ for each
/// request, so that bytes of another response are detected.
std::string body_part(std::uint64_t id, std::uint32_t offset,
                      std::uint32_t size);

/// Removes the first complete line from the text and returns it without its
/// line end.
std::optional<std::string> take_line(std::string& text);

} // namespace boragestand::standins
