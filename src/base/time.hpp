#pragma once

#include <chrono>
#include <cstdint>

namespace boragestand
{

/// A span of time with microsecond resolution.
using duration = std::chrono::microseconds;

/// Clock type of the times that decisions receive. It is never read inside
/// state or coordination code; programs and tests pass its values in.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time of the monotonic clock, in microseconds since an arbitrary
/// start that is the same for one run of a process.
using time_point = monotonic_clock::time_point;

/// Wall-clock time in milliseconds since 1970-01-01T00:00:00Z, for expiries
/// that instances share.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace boragestand
