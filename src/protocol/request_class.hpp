#pragma once

#include <cstdint>

namespace boragestand::protocol
{

/// Expected length of the work of a flow.
enum class request_class : std::uint8_t
{
    unspecified = 0,
    short_work = 1,
    long_work = 2
};

} // namespace boragestand::protocol
