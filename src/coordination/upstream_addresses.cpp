#include "coordination/upstream_addresses.hpp"

namespace boragestand::coordination
{

void upstream_addresses::update(const protocol::upstream_record& record)
{
    std::uint32_t position = find_or_add(record.service, record.upstream);
    const entry& old = entries_[position];
    if (old.known && record.incarnation < old.incarnation)
    {
        return;
    }
    if (old.known && record.incarnation > old.incarnation && old.flows > 0)
    {
        entries_[position].replaced = true;
        position = add(record.service, record.upstream);
    }
    entry& current = entries_[position];
    current.address = record.address;
    current.incarnation = record.incarnation;
    current.known = true;
}

std::uint32_t upstream_addresses::find_or_add(service_id service,
                                              upstream_id upstream)
{
    const auto found = positions_.find({service, upstream});
    return found == positions_.end() ? add(service, upstream) : found->second;
}

std::uint32_t upstream_addresses::add(service_id service, upstream_id upstream)
{
    std::uint32_t position = static_cast<std::uint32_t>(entries_.size());
    if (free_.empty())
    {
        entries_.emplace_back();
    }
    else
    {
        position = free_.back();
        free_.pop_back();
    }
    entries_[position] = entry{};
    entries_[position].service = service;
    entries_[position].upstream = upstream;
    positions_[{service, upstream}] = position;
    return position;
}

void upstream_addresses::release(std::uint32_t position)
{
    entry& used = entries_[position];
    --used.flows;
    if (used.replaced && used.flows == 0)
    {
        free_.push_back(position);
    }
}

} // namespace boragestand::coordination
