#include "coordination/service_table.hpp"

#include <algorithm>

namespace boragestand::coordination
{

void service_table::apply(const state::configuration& configuration)
{
    for (entry& item : entries_)
    {
        item.withdrawn =
            configuration.find_service(item.definition.id) == nullptr;
    }
    for (const state::service& defined : configuration.services)
    {
        entry* item = find(defined.id);
        if (item == nullptr)
        {
            item = &entries_.emplace_back();
            by_id_[defined.id] = item;
        }
        item->definition = defined;
    }
    rebuild_addresses();
}

std::span<service_table::entry* const>
service_table::find_by_address(const transport::endpoint& address,
                               protocol::ip_protocol protocol) const
{
    const auto found = by_address_.find(address_key(address, protocol));
    return found == by_address_.end() ? std::span<entry* const>()
                                      : std::span(found->second);
}

service_table::entry* service_table::find(service_id id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

std::uint64_t service_table::address_key(const transport::endpoint& address,
                                         protocol::ip_protocol protocol)
{
    return std::uint64_t{address.address} << 32 |
           std::uint64_t{address.port} << 8 |
           static_cast<std::uint64_t>(protocol);
}

void service_table::rebuild_addresses()
{
    by_address_.clear();
    for (entry& item : entries_)
    {
        const auto key =
            address_key(item.definition.address, item.definition.protocol);
        by_address_[key].push_back(&item);
    }
    for (auto& [key, services] : by_address_)
    {
        std::stable_partition(services.begin(), services.end(),
                              [](const entry* item)
                              { return !item->withdrawn; });
    }
}

} // namespace boragestand::coordination
