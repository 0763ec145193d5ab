#pragma once

#include "base/base.hpp"

#include <cstdint>

namespace boragestand::coordination
{

/// Converts a time to milliseconds as stored in flow records; wraps around.
inline std::uint32_t to_record_ms(time_point time)
{
    return static_cast<std::uint32_t>(time.time_since_epoch() /
                                      std::chrono::milliseconds(1));
}

/// Time from an earlier stored time to now, also across a wrap-around.
inline duration elapsed_since(std::uint32_t earlier_ms, time_point now)
{
    return std::chrono::milliseconds(to_record_ms(now) - earlier_ms);
}

} // namespace boragestand::coordination
