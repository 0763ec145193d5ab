#pragma once

#include "agreement/agreement.hpp"
#include "state/state.hpp"

#include <memory>
#include <optional>
#include <string>

namespace boragestand::replica
{

/// The data directory of a control instance: identity, hard state, snapshot and
/// log.
class replica_disk
{
public:
    /// Opens the directory; error_kind::storage_corrupt, with file and offset,
    /// if it is damaged.
    static result<std::unique_ptr<replica_disk>>
    open(const std::string& path,
         std::uint64_t segment_size = state::durable_log::default_segment_size);

    /// Opens the files of a directory.
    static result<std::unique_ptr<replica_disk>>
    open(std::unique_ptr<state::disk> files,
         std::uint64_t segment_size = state::durable_log::default_segment_size);

    /// Reads everything again after a failed write, whose effect is not known.
    result<void> reopen() { return read(); }

    /// Durably stores the identity in an empty directory.
    result<void> create(replica_id self);

    /// Whether the directory has no identity yet.
    bool is_empty() const { return condition_ == state::disk_condition::empty; }

    /// Whether it holds a snapshot or entries, so that the replica has been
    /// part of a group.
    bool has_history() const;

    /// Identity on this disk; 0 if it is empty.
    replica_id self() const { return hard_state_.current().self; }

    /// Makes the first group durable, as a snapshot at index 0.
    result<void> save_founders(const protocol::replica_group& founders);

    /// Initial state for an agreement_node. Hands the entries over, so that
    /// they are in memory once; a further call needs reopen().
    agreement::agreement_start start(const transport::endpoint& address,
                                     std::uint64_t seed);

    /// Bytes that can still be written.
    result<std::uint64_t> free_bytes() const { return files_->free_bytes(); }

    /// Repairs made by the last open().
    const state::log_recovery& recovery() const { return recovery_; }

    /// Carries out effects that make something durable.
    result<void> carry_out(const agreement::persist_hard_state& effect);
    result<void> carry_out(const agreement::persist_snapshot& effect);
    result<void> carry_out(const agreement::persist_entries& effect);

private:
    replica_disk(std::unique_ptr<state::disk> files,
                 std::uint64_t segment_size);

    result<void> read();

    std::unique_ptr<state::disk> files_;
    std::uint64_t segment_size_;
    state::hard_state_store hard_state_;
    state::snapshot_store snapshots_;
    std::optional<state::durable_log> log_;
    std::optional<protocol::agreement_snapshot> snapshot_;
    state::log_recovery recovery_;
    bool has_snapshot_{false};
    bool has_entries_{false};
    state::disk_condition condition_{state::disk_condition::empty};
};

} // namespace boragestand::replica
