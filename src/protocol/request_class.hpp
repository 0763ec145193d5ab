#pragma once

#include <cstdint>

namespace boragestand::protocol
{

/// Expected duration of the work that a flow requests.
enum class request_class : std::uint8_t
{
    unspecified = 0,
    short_work = 1,
    long_work = 2
};

} // namespace boragestand::protocol
