#pragma once

#include <compare>
#include <cstdint>

namespace boragestand::replica
{

/// Decides what may be written to a disk that is nearly full. Handles a disk
/// that fills up although the log is truncated, for example by other files:
/// plans are refused first, so that votes, snapshots and small commands such as
/// evacuations still find room.
struct storage_reserve
{
    /// Commands up to this size may use most of the reserve.
    static constexpr std::uint64_t small_size = 4096;

    /// Room for a record of the hard state and some small entries.
    static constexpr std::uint64_t least_free = 64 * 1024;

    std::uint64_t bytes{0}; ///< 0: nothing is refused before the disk is full

    auto operator<=>(const storage_reserve&) const = default;

    /// Whether a leader may accept a command.
    bool admits_command(std::uint64_t free, std::uint64_t size) const
    {
        return free >= (size <= small_size ? bytes / 4 : bytes);
    }

    /// Whether a follower may store an entry. Its limit is lower, so that it
    /// stores what a leader with the same free space has accepted.
    bool admits_entry(std::uint64_t free, std::uint64_t size) const
    {
        const auto least = bytes < least_free ? bytes : least_free;
        return free >= (size <= small_size ? least : bytes / 2);
    }
};

} // namespace boragestand::replica
