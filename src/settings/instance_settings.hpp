#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace boragestand::settings
{

/// Identity and location of an instance.
struct instance_settings
{
    std::uint32_t id{0};
    std::string name;
    std::string data_centre;

    auto operator<=>(const instance_settings&) const = default;
};

/// A control instance as listed in the settings of other instances.
struct control_member
{
    std::uint32_t id{0};
    std::string name;
    std::string http; ///< TCP, HTTP/2, as "A.B.C.D:PORT"

    auto operator<=>(const control_member&) const = default;
};

} // namespace boragestand::settings
