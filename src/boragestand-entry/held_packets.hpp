#pragma once

#include "coordination/coordination.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace boragestand::entry
{

/// A caller's packet that waits for a later decision of the router.
struct held_packet
{
    protocol::geneve_header header;
    protocol::inner_packet summary;
    std::vector<std::byte> bytes; ///< the inner packet
};

/// Held packets by hold ticket, limited in total size.
class held_packets
{
public:
    /// capacity limits the total size of the held packets in bytes.
    explicit held_packets(std::size_t capacity) : capacity_(capacity) {}

    /// Returns the ticket for the next packet; only add() consumes it.
    coordination::hold_ticket next_ticket() const { return {next_}; }

    /// Stores a packet under next_ticket(). Returns false if it would exceed
    /// the capacity.
    bool add(const protocol::geneve_header& header,
             const protocol::inner_packet& summary,
             std::span<const std::byte> bytes);

    /// Removes and returns the packet of a ticket, if it is held.
    std::optional<held_packet> take_packet(coordination::hold_ticket ticket);

    /// Number of held packets.
    std::size_t count() const { return packets_.size(); }

private:
    std::size_t capacity_;
    std::size_t used_{0};
    std::uint64_t next_{1};
    std::unordered_map<std::uint64_t, held_packet> packets_;
};

} // namespace boragestand::entry
