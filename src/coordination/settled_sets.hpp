#pragma once

#include "coordination/traffic_policy.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace boragestand::coordination
{

/// Settled sets of this instance and of its peers, and the move of the own one
/// to a new set. A settled set is the set of upstreams over which a new owner
/// recomputes the upstream of a flow that has no pin.
///
/// A move goes through three phases: the new set is stable, a count over all
/// flows shows that moving creates no more exceptions than it removes, and the
/// new exceptions are pinned. Only then the set is replaced and announced.
class settled_sets
{
public:
    using upstreams = std::vector<protocol::settled_upstream>;

    /// What the owner of the flows has to do for a service.
    enum class task
    {
        none,
        count, ///< call count_flow() for each flow, then finish_count()
        pin    ///< pin each flow that is_exception(), then commit()
    };

    /// Own settled set; empty while there is none.
    std::span<const protocol::settled_upstream> own(service_id service) const;

    /// Settled default of a flow; empty if there is no set.
    std::optional<upstream_id> own_default(service_id service,
                                           std::uint64_t flow_hash) const;

    /// Default under the set that a peer announced, empty if it announced none.
    std::optional<upstream_id> peer_default(instance_id peer,
                                            service_id service,
                                            std::uint64_t flow_hash) const;

    /// Whether a flow at this upstream must be pinned: it differs from the
    /// default under the settled set or under the one that is being moved to.
    bool is_exception(service_id service, std::uint64_t flow_hash,
                      upstream_id upstream) const;

    /// Applies the announcement of a peer; older versions are ignored.
    void apply_announcement(instance_id peer, std::uint64_t incarnation,
                            const protocol::settled_set& announced);

    /// Compares with the active set and decides what to do next. flows is the
    /// number of flows that this instance holds.
    task advance(service_id service,
                 std::span<const protocol::settled_upstream> active,
                 std::size_t flows, time_point now);

    /// Counts a flow of a live upstream for the move.
    void count_flow(service_id service, std::uint64_t flow_hash,
                    upstream_id upstream, bool exception);

    /// Ends the count; returns whether the move goes on with pinning.
    bool finish_count(service_id service, time_point now);

    /// Replaces the settled set by the new one.
    void commit(service_id service, time_point now);

    /// Services with a set.
    std::vector<service_id> services() const;

    /// The announcement of the own set of a service.
    protocol::settled_set announcement(service_id service) const;

    /// Time at which the own set was last replaced.
    time_point changed_at(service_id service) const;

private:
    enum class phase
    {
        idle,
        counting,
        pinning
    };

    struct own_set
    {
        upstreams settled;
        upstreams next;
        std::uint32_t version{0};
        phase current_phase{phase::idle};
        time_point next_since{};
        time_point retry_at{};
        time_point changed_at{};
        /// Flows that would become exceptions, and that would stop being ones.
        std::size_t exceptions_added{0};
        std::size_t exceptions_removed{0};
    };

    struct peer_set
    {
        std::uint64_t incarnation{0};
        protocol::settled_set announced;
    };

    const own_set* find(service_id service) const;
    const upstreams* largest_peer_set(service_id service) const;

    std::map<service_id, own_set> own_;
    std::map<std::pair<instance_id, service_id>, peer_set> peers_;
};

} // namespace boragestand::coordination
