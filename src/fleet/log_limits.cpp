#include "fleet/log_limits.hpp"

#include <algorithm>

namespace boragestand::fleet
{

namespace
{

constexpr double mebibyte = 1024.0 * 1024.0;

// Of the smallest control instances in use.
constexpr double default_memory_mb = 256;
constexpr double default_disk_mb = 128;

// A start holds the entries once, and for a short time one encoded segment
// beside them. A 32nd leaves the memory to the registry and the connections.
constexpr double memory_share = 1.0 / 32;

// Besides the entries, the disk holds two snapshots while one is replaced, and
// one segment that truncation could not remove yet.
constexpr double disk_share = 1.0 / 16;

// With smaller intervals, a plan of some 100 KB is written as a snapshot nearly
// as often as it changes; larger ones only lengthen a start.
constexpr double least_interval = 1.0 * mebibyte;
constexpr double greatest_interval = 64.0 * mebibyte;

constexpr std::uint64_t segments_per_interval = 8;

} // namespace

log_limits log_limits_for(double memory_mb, double disk_mb)
{
    const double memory = memory_mb > 0 ? memory_mb : default_memory_mb;
    const double disk = disk_mb > 0 ? disk_mb : default_disk_mb;
    const double share =
        std::min(memory * memory_share, disk * disk_share) * mebibyte;
    const auto interval = static_cast<std::uint64_t>(
        std::clamp(share, least_interval, greatest_interval));
    return {interval, interval / segments_per_interval, interval};
}

} // namespace boragestand::fleet
