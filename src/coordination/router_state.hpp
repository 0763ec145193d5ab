#pragma once

#include "coordination/handover.hpp"
#include "coordination/held_flows.hpp"
#include "coordination/membership.hpp"
#include "coordination/ownership.hpp"
#include "coordination/pin_sender.hpp"
#include "coordination/request_index.hpp"
#include "coordination/service_table.hpp"
#include "coordination/settled_sets.hpp"
#include "coordination/traffic_policy.hpp"
#include "coordination/upstream_addresses.hpp"

namespace boragestand::coordination
{

/// The tables and policies of one router, shared by the classes that decide
/// about packets, flows and messages.
struct router_state
{
    explicit router_state(const router_settings& given)
        : settings(given)
        , members(given)
        , owners(given.self)
        , flows(given.flow_capacity)
        , kept_pins(given.flow_capacity)
        , pins(settings, flows, addresses, owners)
        , transfers(settings, flows, addresses)
        , traffic(given.self, given.traffic)
    {
    }

    router_state(const router_state&) = delete;
    router_state& operator=(const router_state&) = delete;

    router_settings settings;
    router_counters counters;
    membership members;
    ownership owners;
    service_table services;
    upstream_addresses addresses;
    state::flow_table flows;
    state::pin_table kept_pins; ///< as backup of others
    settled_sets settled;
    pin_sender pins;
    handover transfers;
    held_flows held;
    traffic_policy traffic;
    request_index requests;
    /// Effects of decide(), to be returned by the next step().
    router_effects pending_effects;
    time_point last_packet{};
};

} // namespace boragestand::coordination
