#pragma once

#include "protocol/agreement_messages.hpp"
#include "state/disk.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace boragestand::state
{

/// Result of opening a durable_log.
struct log_recovery
{
    /// Entries after the snapshot, in order without gaps.
    std::vector<protocol::log_entry> entries;
    std::string torn_file; ///< empty if no write was interrupted
    std::uint64_t torn_offset{0};
    std::uint64_t torn_bytes{0};
};

/// The entries of the replicated log in segment files. Each append() is one
/// checksummed record, synced before the call returns. Nothing is overwritten:
/// an append at or below the last index replaces the entries from there on.
///
/// After a failed write or sync every later call fails, because the state of
/// the file is unknown then; the program must stop and recover.
class durable_log
{
public:
    /// Segment size in bytes after which a new file is started.
    static constexpr std::uint64_t default_segment_size = 4 * 1024 * 1024;

    /// Reads all segments and syncs them, because a process that was killed may
    /// have written data without a sync. Syncs the directory as well, because
    /// files may have been renamed in it. A torn tail of the newest segment is
    /// cut off and reported; error_kind::storage_corrupt, with file and offset,
    /// if anything else is damaged or missing. snapshot is the position of the
    /// newest snapshot, {0, 0} if there is none.
    static result<durable_log>
    open(disk& files, const protocol::log_position& snapshot,
         log_recovery& recovery,
         std::uint64_t segment_size = default_segment_size);

    /// Makes consecutive entries durable.
    result<void> append(const std::vector<protocol::log_entry>& entries);

    /// Discards all entries; the next one follows this position, which a
    /// durable snapshot must cover.
    result<void> reset(const protocol::log_position& base);

    /// Removes segments all of whose entries are at or below the index, which a
    /// durable snapshot must cover.
    result<void> compact(std::uint64_t index);

    /// Index of the last entry, or of the base if there is none.
    std::uint64_t last_index() const { return last_index_; }

private:
    struct segment
    {
        std::uint64_t sequence{0};
        std::uint64_t size{0};
        std::uint64_t highest_index{0};
    };

    class reader;

    durable_log(disk& files, std::uint64_t segment_size);

    static std::string file_name(std::uint64_t sequence);
    result<void> write(const std::string& payload, std::uint64_t highest);
    result<void> write_frame(const std::string& frame);
    result<void> remove_oldest();
    result<void> sync_recovered();

    disk* files_;
    std::uint64_t segment_size_;
    std::deque<segment> segments_;
    std::uint64_t last_index_{0};
    /// Position of a snapshot that replaces the records on disk. Its reset is
    /// written before the next entries, as a disk may have no room at the
    /// start.
    std::optional<protocol::log_position> missing_reset_;
    bool failed_{false};
};

} // namespace boragestand::state
