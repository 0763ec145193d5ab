#pragma once

#include "protocol/entry_messages.hpp"

#include <tuple>
#include <type_traits>

namespace boragestand::protocol
{

/// The members of each message type in encoding order. Encoder and decoder both
/// use these lists, so that their field orders cannot differ.
constexpr auto fields_of(std::type_identity<transport::endpoint>)
{
    using transport::endpoint;
    return std::tuple(&endpoint::address, &endpoint::port);
}

constexpr auto fields_of(std::type_identity<flow_key>)
{
    return std::tuple(&flow_key::service, &flow_key::caller,
                      &flow_key::destination, &flow_key::protocol);
}

constexpr auto fields_of(std::type_identity<member_update>)
{
    return std::tuple(&member_update::member, &member_update::incarnation,
                      &member_update::state);
}

constexpr auto fields_of(std::type_identity<probe>)
{
    return std::tuple(&probe::sequence, &probe::target, &probe::on_behalf_of,
                      &probe::revision, &probe::updates);
}

constexpr auto fields_of(std::type_identity<probe_ack>)
{
    return std::tuple(&probe_ack::sequence, &probe_ack::target,
                      &probe_ack::revision, &probe_ack::updates);
}

constexpr auto fields_of(std::type_identity<upstream_load>)
{
    return std::tuple(&upstream_load::service, &upstream_load::upstream,
                      &upstream_load::open, &upstream_load::running,
                      &upstream_load::long_work);
}

constexpr auto fields_of(std::type_identity<load_report>)
{
    return std::tuple(&load_report::sequence, &load_report::loads);
}

constexpr auto fields_of(std::type_identity<upstream_record>)
{
    using record = upstream_record;
    return std::tuple(&record::service, &record::upstream, &record::name,
                      &record::address, &record::data_centre,
                      &record::incarnation, &record::sequence, &record::state,
                      &record::slots, &record::connections, &record::weight,
                      &record::warmup_ms, &record::lease_ms);
}

constexpr auto fields_of(std::type_identity<upstream_batch>)
{
    return std::tuple(&upstream_batch::records);
}

constexpr auto fields_of(std::type_identity<settled_upstream>)
{
    return std::tuple(&settled_upstream::upstream, &settled_upstream::weight);
}

constexpr auto fields_of(std::type_identity<settled_set>)
{
    return std::tuple(&settled_set::service, &settled_set::version,
                      &settled_set::upstreams);
}

constexpr auto fields_of(std::type_identity<flow_pin>)
{
    return std::tuple(&flow_pin::flow_hash, &flow_pin::service,
                      &flow_pin::upstream);
}

constexpr auto fields_of(std::type_identity<pin_batch>)
{
    return std::tuple(&pin_batch::sequence, &pin_batch::added,
                      &pin_batch::removed);
}

constexpr auto fields_of(std::type_identity<pin_ack>)
{
    return std::tuple(&pin_ack::sequence);
}

constexpr auto fields_of(std::type_identity<flow_transfer>)
{
    return std::tuple(&flow_transfer::key, &flow_transfer::upstream,
                      &flow_transfer::age_ms, &flow_transfer::acknowledgement,
                      &flow_transfer::work, &flow_transfer::has_data,
                      &flow_transfer::finished, &flow_transfer::ended);
}

constexpr auto fields_of(std::type_identity<handover_batch>)
{
    return std::tuple(&handover_batch::sequence, &handover_batch::flows);
}

constexpr auto fields_of(std::type_identity<handover_ack>)
{
    return std::tuple(&handover_ack::sequence);
}

/// A type with a list of fields.
template <typename Value>
concept has_fields = requires
{
    fields_of(std::type_identity<Value>{});
};

constexpr bool is_valid(member_state value)
{
    return value <= member_state::dead;
}

constexpr bool is_valid(upstream_state value)
{
    return value <= upstream_state::withdrawn;
}

constexpr bool is_valid(request_class value)
{
    return value <= request_class::long_work;
}

constexpr bool is_valid(ip_protocol value)
{
    return value == ip_protocol::tcp || value == ip_protocol::udp;
}

} // namespace boragestand::protocol
