#pragma once

#include "protocol/protocol.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace boragestand::agreement
{

/// The log of one replica in memory: the newest snapshot and all entries after
/// it, with the group that each membership entry set.
class agreement_log
{
public:
    /// The entries must follow the snapshot without a gap.
    agreement_log(std::optional<protocol::agreement_snapshot> snapshot,
                  std::vector<protocol::log_entry> entries);

    /// Position of the last entry, or of the snapshot if there is none.
    protocol::log_position last() const;

    /// The newest snapshot; its index is 0 if nothing was compacted yet.
    const std::shared_ptr<const protocol::agreement_snapshot>& snapshot() const
    {
        return snapshot_;
    }

    /// Term of the entry at an index; none if it is compacted or missing.
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    /// The entry at an index, which must exist and follow the snapshot.
    const protocol::log_entry& at(std::uint64_t index) const;

    /// Entries from an index on, limited by count and total size; the size
    /// limit never excludes the first entry.
    std::vector<protocol::log_entry> slice(std::uint64_t first,
                                           std::size_t max_entries,
                                           std::size_t max_bytes) const;

    /// Appends entries after removing all from the index of the first one on.
    void append(std::vector<protocol::log_entry> entries);

    /// Memory that the entries from one index to another take, both included.
    std::uint64_t bytes_between(std::uint64_t first, std::uint64_t last) const;

    /// Replaces the entries up to an index with a snapshot.
    void compact(std::uint64_t index, std::string data);

    /// Replaces the whole log with a snapshot.
    void install(protocol::agreement_snapshot snapshot);

    /// The group that the newest membership entry set, committed or not.
    const protocol::replica_group& group() const;

    /// The group after the entry at an index.
    const protocol::replica_group& group_at(std::uint64_t index) const;

    /// Index of the newest membership entry, 0 if the group is the snapshot's.
    std::uint64_t group_index() const;

private:
    struct group_change
    {
        std::uint64_t index;
        protocol::replica_group group;
    };

    std::shared_ptr<const protocol::agreement_snapshot> snapshot_;
    std::deque<protocol::log_entry> entries_;
    std::vector<group_change> changes_;
};

} // namespace boragestand::agreement
