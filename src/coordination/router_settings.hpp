#pragma once

#include "coordination/traffic_policy.hpp"

#include <compare>
#include <cstdint>
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

/// Switches off single mechanisms, so that tests can show that they fail
/// without them. All false in programs.
struct router_faults
{
    bool no_pins{false};                ///< exceptions are not copied
    bool no_second_backup{false};       ///< pins go to one backup only
    bool no_repinning{false};           ///< pins stay at their first backups
    bool no_previous_owner{false};      ///< unknown flows are decided at once
    bool no_settled_sets{false};        ///< recompute over the active set
    bool no_handover{false};            ///< a planned stop transfers nothing
    bool no_freshness{false};           ///< decide with an old view
    bool no_pin_wait{false};            ///< first datagrams go before the ack
    bool no_return_guard{false};        ///< pass packets back to their sender
    bool deviate_when_unsettled{false}; ///< placement is always free
    bool replay_data{false};            ///< place flows with data again

    auto operator<=>(const router_faults&) const = default;
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
    /// Time after a change of the view during which it counts as unsettled.
    duration settling_time{std::chrono::seconds(1)};
    /// Time after a change of the view, or after the last transfer, during
    /// which packets of unknown flows are forwarded to their previous owner.
    duration previous_owner_time{std::chrono::seconds(10)};
    /// Instances that keep a copy of each pin, 1 or 2. With 2 a flow survives
    /// the loss of two instances within a second.
    unsigned backups{2};
    /// Exceptions older than this are pinned at the backup.
    duration pin_age{std::chrono::seconds(1)};
    double pin_bytes_per_second{2000};
    /// All control messages but hand-over; load reports use the remainder.
    double control_bytes_per_second{2700};
    double handover_bytes_per_second{200000};
    std::size_t flow_capacity{600000};
    traffic_settings traffic;
    std::uint64_t seed{1};
    router_faults faults; ///< for tests only

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

} // namespace boragestand::coordination
