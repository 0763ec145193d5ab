#pragma once

#include "coordination/flow_events.hpp"
#include "coordination/traffic_policy.hpp"

#include <memory>
#include <string>
#include <vector>

namespace boragestand::coordination
{

/// An entry instance as listed in the settings of its peers.
struct member
{
    instance_id id;
    std::string name;
    data_centre_id data_centre;

    auto operator<=>(const member&) const = default;
};

/// Limits of ownership, membership, pins and hand-over.
struct router_settings
{
    instance_id self;
    std::uint64_t incarnation{0}; ///< start of the process, ms since 1970
    std::vector<member> members;  ///< all entry instances, this one included
    duration probe_interval{std::chrono::milliseconds(300)};
    duration probe_timeout{std::chrono::milliseconds(100)};
    duration suspicion_timeout{std::chrono::milliseconds(900)};
    /// Exceptions older than this are pinned at the backup.
    duration pin_age{std::chrono::seconds(1)};
    double pin_bytes_per_second{2000};
    double handover_bytes_per_second{200000};
    std::size_t flow_capacity{600000};
    traffic_settings traffic;
    std::uint64_t seed{1};

    auto operator<=>(const router_settings&) const = default;
};

/// Counters for metrics, since the start of the router.
struct router_counters
{
    std::uint64_t packets{0};
    std::uint64_t forwarded_to_upstream{0};
    std::uint64_t forwarded_to_instance{0};
    std::uint64_t flows_opened{0};
    std::uint64_t flows_completed{0};
    std::uint64_t flows_adopted{0};
    std::uint64_t flows_held{0};
    std::uint64_t flows_refused{0};
    std::uint64_t packets_dropped{0};
    std::uint64_t pins_sent{0};
    std::uint64_t pins_received{0};
    std::uint64_t control_bytes_sent{0};

    auto operator<=>(const router_counters&) const = default;
};

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

    /// Decides about anything else.
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
