#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragestand
{

struct replica_tag;

/// Identifies one disk of a control instance: the instance number in the upper
/// 32 bits, a random number of the disk in the lower ones. The identity of a
/// lost disk is never reused. 0 means none.
using replica_id = identity<replica_tag, std::uint64_t>;

} // namespace boragestand

namespace boragestand::protocol
{

/// Largest command in bytes that the replicated log accepts.
constexpr std::size_t max_command_size = 1024 * 1024;

/// Largest encoded agreement message in bytes.
constexpr std::size_t max_agreement_message_size = 4 * 1024 * 1024;

/// Maximum number of members of a group, including learners.
constexpr std::size_t max_replicas = 16;

/// Maximum number of retired identities that a group stores.
constexpr std::size_t max_retired_replicas = 65536;

/// Maximum number of entries in one append request.
constexpr std::size_t max_append_entries = 1024;

/// One member of the group.
struct replica
{
    replica_id id;
    transport::endpoint address; ///< serves agreement messages over HTTP/2
    bool voter{false};
    /// Commit index when the member was added. A learner becomes a voter only
    /// after it has replicated the log up to this index.
    std::uint64_t admission_index{0};

    auto operator<=>(const replica&) const = default;
};

/// The members of a group and the retired identities, which may never rejoin.
struct replica_group
{
    std::vector<replica> members; ///< sorted by identity
    std::vector<replica_id> retired;

    auto operator<=>(const replica_group&) const = default;

    /// The member with this identity, or null.
    const replica* find(replica_id id) const;

    /// Whether this identity belongs to a voter.
    bool is_voter(replica_id id) const;

    /// Whether this identity is retired.
    bool is_retired(replica_id id) const;

    /// Number of voters.
    std::size_t voter_count() const;
};

/// Type of the data of a log entry.
enum class entry_kind : std::uint8_t
{
    empty = 0,     ///< appended by a new leader at the start of its term
    command = 1,   ///< opaque bytes for the state machine
    membership = 2 ///< an encoded replica_group
};

/// One entry of the replicated log.
struct log_entry
{
    std::uint64_t index{0};
    std::uint64_t term{0};
    entry_kind kind{entry_kind::empty};
    std::string data;

    auto operator<=>(const log_entry&) const = default;
};

/// Index and term of a log entry.
struct log_position
{
    std::uint64_t index{0};
    std::uint64_t term{0};

    auto operator<=>(const log_position&) const = default;
};

/// State of the state machine and the group after a log entry was applied.
struct agreement_snapshot
{
    log_position last;
    replica_group group;
    std::string data;

    auto operator<=>(const agreement_snapshot&) const = default;
};

/// Requests a vote, or with pre_vote set asks whether a vote would be granted,
/// which changes no term.
struct vote_request
{
    bool pre_vote{false};
    /// Set during a leadership transfer, so that receivers grant their vote
    /// although they still receive heartbeats from the leader.
    bool transfer{false};
    log_position last;

    auto operator<=>(const vote_request&) const = default;
};

/// Answers a vote_request.
struct vote_reply
{
    bool pre_vote{false};
    bool granted{false};

    auto operator<=>(const vote_reply&) const = default;
};

/// Appends the entries after a position; without entries, a heartbeat.
struct append_request
{
    log_position previous;
    std::uint64_t commit{0};
    std::uint64_t round{0}; ///< echoed, for check-quorum and reads
    std::vector<log_entry> entries;

    auto operator<=>(const append_request&) const = default;
};

/// Answers an append_request.
struct append_reply
{
    bool accepted{false};
    std::uint64_t match{0}; ///< last index known to match the leader's log
    std::uint64_t hint{0};  ///< if rejected, index at which to continue
    std::uint64_t round{0};

    auto operator<=>(const append_reply&) const = default;
};

/// Part of an encoded snapshot.
struct snapshot_chunk
{
    log_position last; ///< of the snapshot
    std::uint64_t offset{0};
    std::uint64_t size{0}; ///< of the complete encoded snapshot
    std::uint64_t round{0};
    std::string bytes;

    auto operator<=>(const snapshot_chunk&) const = default;
};

/// Answers a snapshot_chunk with the next offset that the receiver expects, or
/// with the size of the snapshot once it is stored durably.
struct snapshot_reply
{
    log_position last;
    std::uint64_t offset{0};
    std::uint64_t round{0};

    auto operator<=>(const snapshot_reply&) const = default;
};

/// Asks the receiver to start an election at once.
struct leadership_transfer
{
    auto operator<=>(const leadership_transfer&) const = default;
};

using agreement_message =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, leadership_transfer>;

/// A message with its sender and receiver and the term of the sender.
struct agreement_envelope
{
    replica_id from;
    replica_id to;
    /// HTTP/2 address of the sender, because a new learner does not know the
    /// members of the group yet.
    transport::endpoint reply_to;
    std::uint64_t term{0};
    agreement_message message;

    auto operator<=>(const agreement_envelope&) const = default;
};

/// Encodes with msgpack. Never fails for values within the limits above.
std::string encode_agreement_message(const agreement_envelope& envelope);

/// Decodes an envelope; error_kind::malformed_message for anything that
/// encode_agreement_message does not write or that exceeds a limit.
result<agreement_envelope> decode_agreement_message(std::string_view bytes);

/// Encodes a group for log entries and files.
std::string encode_replica_group(const replica_group& group);

/// Decodes a group; error_kind::malformed_message as above.
result<replica_group> decode_replica_group(std::string_view bytes);

/// Encodes entries for the durable log.
std::string encode_log_entries(const std::vector<log_entry>& entries);

/// Decodes entries; error_kind::malformed_message as above.
result<std::vector<log_entry>> decode_log_entries(std::string_view bytes);

/// Encodes a snapshot for files and for transfer.
std::string encode_agreement_snapshot(const agreement_snapshot& snapshot);

/// Decodes a snapshot; error_kind::malformed_message as above.
result<agreement_snapshot> decode_agreement_snapshot(std::string_view bytes);

} // namespace boragestand::protocol
