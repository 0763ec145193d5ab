#pragma once

#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace boragestand::coordination
{

/// Services by address. A withdrawn service is kept, so that its flows continue
/// on an address that was removed or now belongs to another service.
class service_table
{
public:
    struct entry
    {
        state::service definition;
        bool withdrawn{false};
        std::size_t flows{0}; ///< held by this instance
    };

    /// Adds and updates the services of a configuration, and marks the missing
    /// ones as withdrawn.
    void apply(const state::configuration& configuration);

    /// The services that have or had this address; the one in force, if there
    /// is one, comes first.
    std::span<entry* const>
    find_by_address(const transport::endpoint& address,
                    protocol::ip_protocol protocol) const;

    /// The service with this identity, or null.
    entry* find(service_id id) const;

    /// All services, also withdrawn ones.
    const std::deque<entry>& entries() const { return entries_; }

private:
    static std::uint64_t address_key(const transport::endpoint& address,
                                     protocol::ip_protocol protocol);
    void rebuild_addresses();

    std::deque<entry> entries_;
    std::unordered_map<service_id, entry*> by_id_;
    std::unordered_map<std::uint64_t, std::vector<entry*>> by_address_;
};

} // namespace boragestand::coordination
