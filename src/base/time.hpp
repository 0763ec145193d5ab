#pragma once

#include <chrono>
#include <cstdint>

namespace boragestand
{

/// A duration with microsecond resolution.
using duration = std::chrono::microseconds;

/// Clock of the times that are passed to decision code. State and coordination
/// code never reads the clock; programs and tests pass the current time in.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time of the monotonic clock, in microseconds since an arbitrary
/// epoch that does not change while the process runs.
using time_point = monotonic_clock::time_point;

/// Wall-clock time in milliseconds since 1970-01-01T00:00:00Z, for expiry
/// times that instances share.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace boragestand
