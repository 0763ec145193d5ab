#pragma once

#include "protocol/agreement_messages.hpp"
#include "state/disk.hpp"

#include <compare>
#include <optional>

namespace boragestand::state
{

/// Raft state that a replica must persist besides its log.
struct hard_state
{
    replica_id self;
    std::uint64_t term{0};
    replica_id vote; ///< for whom it voted in this term

    auto operator<=>(const hard_state&) const = default;
};

/// Condition of a data directory when it is opened.
enum class disk_condition
{
    empty,       ///< never used, or all files are gone
    initialized, ///< holds the identity of a replica and its state
};

/// The identity of the replica on this disk and its hard state, in two files:
/// the identity is written once, the hard state with each new term or vote.
class hard_state_store
{
public:
    explicit hard_state_store(disk& files);

    /// Distinguishes an empty directory from an initialized one. Fails with
    /// error_kind::storage_corrupt if there are files, but no readable identity
    /// and matching hard state, because then part of the disk was lost.
    result<disk_condition> inspect();

    /// Gives an empty directory its identity, durably.
    result<void> create(replica_id self);

    /// Makes a new term or vote durable.
    result<void> save(const hard_state& value);

    /// The state that inspect() found or save() wrote.
    const hard_state& current() const { return current_; }

private:
    result<replica_id> read_identity();
    result<hard_state> read_state();

    disk& files_;
    hard_state current_;
};

} // namespace boragestand::state
