#pragma once

#include "coordination/pin_sender.hpp"

#include <optional>
#include <unordered_map>

namespace boragestand::coordination
{

/// A flow whose first packet the program holds until it is decided.
struct held_flow
{
    hold_ticket ticket;
    flow_reference flow;
    time_point held_since;
    time_point limit; ///< of the wait for the backup's confirmation
    /// The first packet, for a flow whose owner is unknown.
    packet_event packet{};
};

/// Flows that wait in the hold queue or for the confirmation of their pin, by
/// ticket and by flow hash.
class held_flows
{
public:
    /// Adds a flow, or replaces its entry.
    void add(const held_flow& held)
    {
        by_ticket_[held.ticket.value] = held;
        tickets_[held.flow.hash] = held.ticket.value;
    }

    /// The entry of a ticket.
    std::optional<held_flow> find(hold_ticket ticket) const
    {
        const auto found = by_ticket_.find(ticket.value);
        return found == by_ticket_.end() ? std::nullopt
                                         : std::optional(found->second);
    }

    /// The entry of a flow.
    std::optional<held_flow> find(std::uint64_t flow_hash) const
    {
        const auto found = tickets_.find(flow_hash);
        return found == tickets_.end() ? std::nullopt
                                       : find(hold_ticket{found->second});
    }

    /// Removes an entry.
    void erase(const held_flow& held)
    {
        by_ticket_.erase(held.ticket.value);
        tickets_.erase(held.flow.hash);
    }

    /// All entries.
    const std::unordered_map<std::uint64_t, held_flow>& all() const
    {
        return by_ticket_;
    }

private:
    std::unordered_map<std::uint64_t, held_flow> by_ticket_;
    std::unordered_map<std::uint64_t, std::uint64_t> tickets_;
};

} // namespace boragestand::coordination
