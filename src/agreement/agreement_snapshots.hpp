#pragma once

#include "protocol/protocol.hpp"

#include <memory>
#include <optional>

namespace boragestand::agreement
{

/// Sends one snapshot to one follower, chunk by chunk. Keeps the snapshot that
/// it began with, so that a newer one does not make the transfer start again.
class snapshot_sender
{
public:
    snapshot_sender(const protocol::agreement_snapshot& snapshot,
                    std::size_t chunk_size);

    /// The chunk at the offset that the receiver requests.
    protocol::snapshot_chunk next_chunk(std::uint64_t round) const;

    /// Handles a reply. True if it requests another offset than before.
    bool handle_reply(const protocol::snapshot_reply& reply);

    /// Whether the receiver has made the whole snapshot durable.
    bool is_complete() const { return offset_ >= encoded_.size(); }

    /// Position of the snapshot.
    const protocol::log_position& last() const { return last_; }

private:
    protocol::log_position last_;
    std::string encoded_;
    std::size_t chunk_size_;
    std::uint64_t offset_{0};
};

/// Assembles a snapshot from chunks that may be lost, repeated or reordered.
class snapshot_receiver
{
public:
    /// Adds a chunk. Returns the snapshot when its last chunk has arrived.
    std::optional<protocol::agreement_snapshot>
    add_chunk(const protocol::snapshot_chunk& chunk);

    /// Offset of the next chunk of the snapshot that is being assembled.
    std::uint64_t next_offset() const { return bytes_.size(); }

private:
    protocol::log_position last_;
    std::string bytes_;
};

} // namespace boragestand::agreement
