#include "held_packets.hpp"

namespace boragestand::entry
{

bool held_packets::add(const protocol::geneve_header& header,
                       const protocol::inner_packet& summary,
                       std::span<const std::byte> bytes)
{
    if (used_ + bytes.size() > capacity_)
    {
        return false;
    }
    used_ += bytes.size();
    packets_.emplace(
        next_, held_packet{header, summary, {bytes.begin(), bytes.end()}});
    ++next_;
    return true;
}

std::optional<held_packet>
held_packets::take_packet(coordination::hold_ticket ticket)
{
    const auto found = packets_.find(ticket.value);
    if (found == packets_.end())
    {
        return std::nullopt;
    }
    held_packet packet = std::move(found->second);
    packets_.erase(found);
    used_ -= packet.bytes.size();
    return packet;
}

} // namespace boragestand::entry
