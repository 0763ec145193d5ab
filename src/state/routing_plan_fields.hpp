#pragma once

#include "state/configuration_fields.hpp"
#include "state/routing_plan.hpp"

/// Encoded fields of routing plans.
namespace boragestand::state::codec
{

template <>
inline constexpr auto last_enumerator<request_kind> = request_kind::unknown;

template <>
inline constexpr auto
    fallback_enumerator<request_kind> = std::optional(request_kind::unknown);

template <>
struct fields_of<weighted_service>
{
    static auto tie(auto& value)
    {
        return std::tie(value.service, value.weight);
    }
};

template <>
struct fields_of<service_route>
{
    static auto tie(auto& value)
    {
        return std::tie(value.name, value.address, value.services, value.kind,
                        value.timeout_ms, value.target_latency_ms,
                        value.priority);
    }
};

template <>
struct fields_of<planned_service>
{
    static auto tie(auto& value)
    {
        return std::tie(value.name, value.health_path, value.max_connections,
                        value.warmup_ms, value.warmup_requests_per_1000_s);
    }
};

template <>
inline constexpr auto
    required_fields<planned_service> = std::optional<std::size_t>(3);

template <>
struct fields_of<routing_plan>
{
    static auto tie(auto& value)
    {
        return std::tie(value.version, value.routes, value.services,
                        value.idle_timeout_ms);
    }
};

template <>
struct fields_of<submitted_plan>
{
    static auto tie(auto& value)
    {
        return std::tie(value.plan, value.document);
    }
};

} // namespace boragestand::state::codec
