#pragma once

#include <compare>
#include <cstdint>

namespace boragestand::fleet
{

/// Bounds of the replicated log of a control instance in bytes.
struct log_limits
{
    std::uint64_t snapshot_interval{0}; ///< of entries after the snapshot
    std::uint64_t segment_size{0};      ///< of a file of the log
    std::uint64_t reserve{0};           ///< kept free on the disk

    auto operator<=>(const log_limits&) const = default;
};

/// Derives the bounds from the limits of the machine in MB; 0: not known.
log_limits log_limits_for(double memory_mb, double disk_mb);

} // namespace boragestand::fleet
