#pragma once

#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace boragestand::coordination
{

/// Services by address. A withdrawn service stays known, so that its flows can
/// go on at an address that is gone or belongs to another service now.
class service_table
{
public:
    struct entry
    {
        state::service definition;
        bool withdrawn{false};
        std::size_t flows{0}; ///< held by this instance
    };

    /// Takes the services of a configuration.
    void apply(const state::configuration& configuration);

    /// The services that have or had this address; the one in force, if there
    /// is one, comes first.
    std::span<entry* const>
    find_by_address(const transport::endpoint& address,
                    protocol::ip_protocol protocol) const;

    /// The service with this identity, or null.
    entry* find(service_id id) const;

    /// All services that were known at some time.
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
