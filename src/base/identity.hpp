#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace boragestand
{

/// A strongly typed integer identifier. Identifiers with different tags are
/// different types and do not convert to each other.
template <typename Tag, typename Integer>
struct identity
{
    using value_type = Integer;

    Integer value{0};

    auto operator<=>(const identity&) const = default;
};

struct instance_tag;
struct service_tag;
struct upstream_tag;
struct data_centre_tag;

/// Number of an entry or control instance, unique in the system, from its
/// settings. 0 means none.
using instance_id = identity<instance_tag, std::uint32_t>;

/// Number of a service, assigned by the configuration and never reused.
using service_id = identity<service_tag, std::uint32_t>;

/// Identity of an upstream within its service: a hash of its announced name.
using upstream_id = identity<upstream_tag, std::uint32_t>;

/// Identity of a data centre: a hash of its name.
using data_centre_id = identity<data_centre_tag, std::uint32_t>;

} // namespace boragestand

template <typename Tag, typename Integer>
struct std::hash<boragestand::identity<Tag, Integer>>
{
    std::size_t
    operator()(const boragestand::identity<Tag, Integer>& id) const noexcept
    {
        return std::hash<Integer>{}(id.value);
    }
};
