#pragma once

#include "coordination/router_settings.hpp"

#include <cstdint>
#include <vector>

namespace boragestand::coordination
{

/// Numbers the listed members in one byte, for flow records. 0 means none, also
/// for members beyond the 255th, which are never chosen as backups.
class member_numbers
{
public:
    explicit member_numbers(const std::vector<member>& members)
    {
        for (const member& listed : members)
        {
            ids_.push_back(listed.id);
        }
    }

    /// The number of a member, or 0.
    std::uint8_t number_of(instance_id id) const
    {
        for (std::size_t index = 0; index < ids_.size() && index < 255; ++index)
        {
            if (ids_[index] == id)
            {
                return static_cast<std::uint8_t>(index + 1);
            }
        }
        return 0;
    }

    /// The member with this number, which must not be 0.
    instance_id id_of(std::uint8_t number) const { return ids_[number - 1U]; }

private:
    std::vector<instance_id> ids_;
};

} // namespace boragestand::coordination
