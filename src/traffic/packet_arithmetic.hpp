#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace boragestand::traffic
{

/// Whether a sequence number is after another one; they wrap around.
constexpr bool is_after(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

/// A duration in seconds.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace boragestand::traffic
