#pragma once

#include "coordination/coordination.hpp"

#include <string>
#include <vector>

namespace boragestand::coordination
{

constexpr service_id test_service{7};

/// Time point this many milliseconds after the start of a test.
inline time_point at(int milliseconds)
{
    return time_point(std::chrono::milliseconds(milliseconds));
}

/// Record of a ready upstream of test_service.
inline protocol::upstream_record record_of(unsigned index,
                                           std::uint64_t sequence = 1,
                                           std::uint64_t incarnation = 1)
{
    protocol::upstream_record record;
    record.service = test_service;
    record.name = "md-" + std::to_string(index);
    record.upstream = protocol::upstream_id_of(record.name);
    record.address = {0x7f000000u + index, 6081};
    record.incarnation = incarnation;
    record.sequence = sequence;
    record.lease_ms = 600000;
    return record;
}

/// Identity of the upstream in record_of(index).
inline upstream_id id_of(unsigned index)
{
    return record_of(index).upstream;
}

/// A configuration with test_service as its only service.
inline state::configuration configuration_of(std::uint64_t revision = 1)
{
    state::service defined;
    defined.id = test_service;
    defined.name = "member-desk";
    state::configuration configuration;
    configuration.revision = revision;
    configuration.services.push_back(defined);
    return configuration;
}

/// Applies a configuration to a policy.
inline void put(traffic_policy& policy, state::configuration configuration,
                time_point now = at(0))
{
    policy.apply(
        std::make_shared<const state::configuration>(std::move(configuration)),
        now,
        wall_time(now.time_since_epoch() / std::chrono::milliseconds(1) *
                  std::chrono::milliseconds(1)));
}

/// A policy for test_service with this many ready upstreams.
inline traffic_policy
policy_with(unsigned upstreams,
            const state::configuration& configuration = configuration_of(),
            const traffic_settings& settings = {})
{
    traffic_policy policy(instance_id{1}, settings);
    put(policy, configuration);
    for (unsigned index = 0; index < upstreams; ++index)
    {
        policy.apply(record_of(index), at(0));
    }
    return policy;
}

/// A new flow of test_service; its ticket equals its hash.
inline flow_arrival
arrival_of(std::uint64_t flow_hash,
           protocol::request_class work = protocol::request_class::unspecified)
{
    flow_arrival arrival;
    arrival.service = test_service;
    arrival.flow_hash = flow_hash;
    arrival.work = work;
    arrival.ticket = {flow_hash};
    return arrival;
}

/// An observation of a flow.
template <typename What>
flow_observation observation_of(std::uint64_t flow_hash, upstream_id upstream,
                                What what)
{
    flow_observation observation;
    observation.service = test_service;
    observation.upstream = upstream;
    observation.flow_hash = flow_hash;
    observation.event = what;
    return observation;
}

} // namespace boragestand::coordination
