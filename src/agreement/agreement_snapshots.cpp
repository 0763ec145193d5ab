#include "agreement/agreement_snapshots.hpp"

namespace boragestand::agreement
{

snapshot_sender::snapshot_sender(const protocol::agreement_snapshot& snapshot,
                                 std::size_t chunk_size)
    : last_(snapshot.last)
    , encoded_(protocol::encode_agreement_snapshot(snapshot))
    , chunk_size_(chunk_size)
{
}

protocol::snapshot_chunk snapshot_sender::next_chunk(std::uint64_t round) const
{
    return {last_, offset_, encoded_.size(), round,
            encoded_.substr(offset_, chunk_size_)};
}

bool snapshot_sender::handle_reply(const protocol::snapshot_reply& reply)
{
    if (reply.last != last_ || reply.offset == offset_ ||
        reply.offset > encoded_.size())
    {
        return false;
    }
    // A smaller offset comes from a receiver that has restarted, or from a
    // late answer; the latter costs one repeated chunk.
    offset_ = reply.offset;
    return true;
}

std::optional<protocol::agreement_snapshot>
snapshot_receiver::add_chunk(const protocol::snapshot_chunk& chunk)
{
    if (chunk.last != last_)
    {
        last_ = chunk.last;
        bytes_.clear();
    }
    if (chunk.offset != bytes_.size())
    {
        return std::nullopt;
    }
    bytes_.append(chunk.bytes);
    if (bytes_.size() != chunk.size)
    {
        return std::nullopt;
    }
    auto snapshot = protocol::decode_agreement_snapshot(bytes_);
    bytes_.clear();
    if (!snapshot || snapshot->last != chunk.last)
    {
        return std::nullopt;
    }
    return std::move(*snapshot);
}

} // namespace boragestand::agreement
