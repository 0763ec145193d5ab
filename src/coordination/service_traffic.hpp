#pragma once

#include "coordination/traffic_policy.hpp"
#include "coordination/upstream_directory.hpp"

#include <span>
#include <vector>

namespace boragestand::coordination
{

/// Placement and admission for the flows of one service.
class service_traffic
{
public:
    explicit service_traffic(service_id id);

    /// Puts the part of a configuration that names this service into force.
    void apply(const state::configuration& configuration, time_point now);

    /// Takes an announcement; returns whether it was newer.
    bool apply(const protocol::upstream_record& record, time_point now);

    /// Decides about a new flow.
    admission admit(const flow_arrival& arrival, time_point now);

    /// Brings leases and warm-up up to date.
    void advance(time_point now);

    /// The upstreams that take new flows.
    std::span<const protocol::settled_upstream> active_set() const;

    /// Announced upstreams.
    const upstream_directory& directory() const { return directory_; }

private:
    void refresh(time_point now);

    service_id id_;
    bool configured_{false};
    state::service definition_;
    upstream_directory directory_;
    std::vector<protocol::settled_upstream> active_;
    time_point next_change_{time_point::min()};
};

} // namespace boragestand::coordination
