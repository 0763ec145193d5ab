#pragma once

#include "base/base.hpp"

#include <cstdint>

namespace boragestand::coordination
{

/// Time as flow records keep it.
inline std::uint32_t to_record_ms(time_point time)
{
    return static_cast<std::uint32_t>(time.time_since_epoch() /
                                      std::chrono::milliseconds(1));
}

/// Time from an earlier record time to now.
inline duration elapsed_since(std::uint32_t earlier_ms, time_point now)
{
    return std::chrono::milliseconds(to_record_ms(now) - earlier_ms);
}

} // namespace boragestand::coordination
