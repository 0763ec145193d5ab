#pragma once

#include "state/durable_log.hpp"

namespace boragestand::state
{

/// Kinds of records in a segment, the first byte of each payload.
constexpr char entries_record = 'E';
constexpr char reset_record = 'R';

/// Rebuilds the entries of a durable_log from its segments.
class durable_log::reader
{
public:
    reader(disk& files, log_recovery& recovery);

    /// Reads one segment; the newest one may have a torn tail.
    result<segment> read(std::uint64_t sequence, bool newest);

    /// Drops entries that the snapshot covers and checks for gaps.
    result<void> finish(const protocol::log_position& snapshot);

    /// Index of the last entry or of the base.
    std::uint64_t last_index() const;

    /// Whether the snapshot replaces records that are still in the segments.
    bool is_replaced() const { return replaced_; }

private:
    result<void> apply(std::string_view payload, segment& target);
    result<void> apply_entries(std::string_view encoded, segment& target);
    result<void> apply_reset(std::string_view encoded, segment& target);
    result<void> truncate_tail(const std::string& name, std::uint64_t offset,
                               std::uint64_t size);

    disk& files_;
    log_recovery& recovery_;
    std::uint64_t base_{0};
    bool has_base_{false};
    bool replaced_{false};
};

} // namespace boragestand::state
