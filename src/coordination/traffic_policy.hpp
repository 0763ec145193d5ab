#pragma once

#include "coordination/traffic_types.hpp"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace boragestand::coordination
{

/// Limits of placement and admission.
struct traffic_settings
{
    /// Largest share of a service's upstreams ejected at once, in percent.
    unsigned ejection_percent{33};
    /// A flow may deviate from its default if the default has more open flows
    /// than this percentage of the mean.
    unsigned imbalance_percent{105};
    /// Time in the hold queue after which a flow precedes newer short work.
    duration aging_limit{std::chrono::seconds(2)};
    std::uint64_t seed{1};

    auto operator<=>(const traffic_settings&) const = default;
};

/// Upstream directory, placement, admission and hold queues of all services on
/// one owner instance.
class traffic_policy
{
public:
    traffic_policy(instance_id self, const traffic_settings& settings);
    ~traffic_policy();
    traffic_policy(traffic_policy&&) noexcept;
    traffic_policy& operator=(traffic_policy&&) noexcept;

    /// Applies a configuration, unless one of the same or a newer revision is
    /// in effect.
    void apply(std::shared_ptr<const state::configuration> configuration,
               time_point now, wall_time wall_now);

    /// Applies an announcement, from the upstream itself or by gossip. Returns
    /// whether it was newer than the known one; a newer one renews the lease.
    bool apply(const protocol::upstream_record& record, time_point now);

    /// Applies the load report of another instance.
    void apply(instance_id from, const protocol::load_report& report,
               time_point now);

    /// Applies the answer of a health or load endpoint.
    void apply(const endpoint_report& report, time_point now);

    /// Removes the reported load of a dead instance.
    void forget_load_of(instance_id instance);

    /// Decides about a new flow. A placed flow counts as open until a
    /// flow_ended observation.
    admission admit(const flow_arrival& arrival, time_point now);

    /// Removes a flow whose caller gave up from the hold queue. Returns false
    /// if it is not held.
    bool cancel(hold_ticket ticket);

    /// Records an observation from the packets of a flow.
    void record(const flow_observation& observation, time_point now);

    /// Returns the due decisions about held flows. Call about every 10 ms and
    /// after each flow_ended.
    std::vector<hold_outcome> poll(time_point now, wall_time wall_now);

    /// Requests to wake the director that are to be sent or repeated now.
    std::vector<director_request> due_director_requests(time_point now);

    /// Stops repeating a request.
    void acknowledge_director_request(service_id service,
                                      std::uint64_t episode);

    /// Creates the load report of this instance for its peers.
    protocol::load_report make_load_report(time_point now);

    /// The upstreams that receive new flows, sorted by identity, with their
    /// effective weights. The default of a flow is rendezvous_choice over it.
    std::span<const protocol::settled_upstream>
    active_set(service_id service) const;

    /// Address for packets of existing flows of this upstream, or empty if it
    /// is unknown. It is kept for address_retention after the lease has ended,
    /// since the upstream may be alive behind a partition.
    std::optional<transport::endpoint> address_of(service_id service,
                                                  upstream_id upstream) const;

    /// All records with a valid lease, for gossip and status.
    std::vector<protocol::upstream_record> records(time_point now) const;

    /// Removes and returns the events recorded since the last call, oldest
    /// first.
    std::vector<traffic_event> take_events();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Weighted rendezvous hashing: the upstream with the highest score for the
/// flow, or empty for an empty set. Removing an upstream only changes the
/// choice of flows that had chosen it.
std::optional<upstream_id>
rendezvous_choice(std::span<const protocol::settled_upstream> upstreams,
                  std::uint64_t flow_hash);

} // namespace boragestand::coordination
