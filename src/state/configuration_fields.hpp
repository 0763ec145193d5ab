#pragma once

#include "state/configuration_update.hpp"
#include "state/msgpack_codec.hpp"

#include <tuple>

/// Encoded fields of configurations and their updates.
namespace boragestand::state::codec
{

template <>
inline constexpr auto last_enumerator<protocol::request_class> =
    protocol::request_class::long_work;

template <>
inline constexpr auto last_enumerator<protocol::ip_protocol> =
    protocol::ip_protocol::udp;

template <>
inline constexpr auto last_enumerator<rule_action> = rule_action::refuse;

template <>
struct fields_of<transport::endpoint>
{
    static auto tie(auto& value) { return std::tie(value.address, value.port); }
};

template <>
struct fields_of<service>
{
    static auto tie(auto& value)
    {
        return std::tie(value.id, value.name, value.address, value.protocol,
                        value.idempotent, value.work, value.short_limit_ms,
                        value.hold_limit_ms, value.hold_capacity,
                        value.idle_limit_ms);
    }
};

template <>
struct fields_of<rule>
{
    static auto tie(auto& value)
    {
        return std::tie(value.name, value.service, value.source_address,
                        value.source_prefix_length, value.work, value.action,
                        value.share_percent);
    }
};

template <>
struct fields_of<upstream_override>
{
    static auto tie(auto& value)
    {
        return std::tie(value.service, value.upstream, value.weight,
                        value.drain);
    }
};

template <>
struct fields_of<refusal_agreement>
{
    static auto tie(auto& value)
    {
        return std::tie(value.id, value.director, value.service, value.rule,
                        value.limit_per_minute, value.expires);
    }
};

template <>
struct fields_of<configuration>
{
    static auto tie(auto& value)
    {
        return std::tie(value.revision, value.note_number, value.services,
                        value.rules, value.overrides, value.agreements,
                        value.last_service);
    }
};

template <>
struct fields_of<service_rules>
{
    static auto tie(auto& value)
    {
        return std::tie(value.service, value.rules);
    }
};

template <>
struct fields_of<override_key>
{
    static auto tie(auto& value)
    {
        return std::tie(value.service, value.upstream);
    }
};

template <>
struct fields_of<configuration_delta>
{
    static auto tie(auto& value)
    {
        return std::tie(value.from_revision, value.to_revision,
                        value.note_number, value.last_service, value.services,
                        value.removed_services, value.rules, value.overrides,
                        value.removed_overrides, value.agreements,
                        value.removed_agreements);
    }
};

} // namespace boragestand::state::codec
