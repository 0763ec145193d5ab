#pragma once

#include "coordination/flow_events.hpp"
#include "coordination/router_settings.hpp"
#include "coordination/traffic_policy.hpp"

#include <memory>
#include <vector>

namespace boragestand::coordination
{

/// All decisions of one entry instance about flows: who owns a flow, where it
/// goes, when it waits. Pure: no I/O, no clock.
class flow_router
{
public:
    explicit flow_router(const router_settings& settings);
    ~flow_router();
    flow_router(flow_router&&) noexcept;
    flow_router& operator=(flow_router&&) noexcept;

    /// Decides about one packet, without allocation for known flows. Effects
    /// that it causes come with the next step().
    packet_decision decide(const packet_event& event);

    /// Processes any other input.
    router_effects step(const router_event& event);

    /// Flows held in the table.
    std::size_t flow_count() const;

    /// Revision of the configuration in force.
    std::uint64_t revision() const;

    /// Members as this instance sees them.
    std::vector<protocol::member_update> view() const;

    /// Counters since the start.
    const router_counters& counters() const;

    /// Placement and admission, for status output.
    const traffic_policy& traffic() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace boragestand::coordination
