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
    /// Upstreams of a service that may be ejected at once, in percent.
    unsigned ejection_percent{33};
    /// A deviation is sought when the default has more open flows than this
    /// share of the mean, in percent.
    unsigned imbalance_percent{105};
    /// Time in the hold queue after which long work goes before short work.
    duration aging_limit{std::chrono::seconds(2)};
    std::uint64_t seed{1};

    auto operator<=>(const traffic_settings&) const = default;
};

/// Directory of upstreams, placement, admission and hold queue of all services
/// as one owner instance sees them.
class traffic_policy
{
public:
    traffic_policy(instance_id self, const traffic_settings& settings);
    ~traffic_policy();
    traffic_policy(traffic_policy&&) noexcept;
    traffic_policy& operator=(traffic_policy&&) noexcept;

    /// Puts a configuration into force. One with an older revision is ignored.
    void apply(std::shared_ptr<const state::configuration> configuration,
               time_point now, wall_time wall_now);

    /// Takes an announcement, from the upstream itself or by gossip. Returns
    /// whether it was newer than what was known. Each newer one renews the
    /// lease.
    bool apply(const protocol::upstream_record& record, time_point now);

    /// Takes the load that another instance reports.
    void apply(instance_id from, const protocol::load_report& report,
               time_point now);

    /// Takes the answer of a health or load endpoint.
    void apply(const endpoint_report& report, time_point now);

    /// Drops the reported load of an instance that is dead.
    void forget_load_of(instance_id instance);

    /// Decides about a new flow. A placed flow counts as running until a
    /// flow_ended evidence.
    admission admit(const flow_arrival& arrival, time_point now);

    /// Takes a flow whose caller gave up out of the hold queue. Returns false
    /// if it is not held.
    bool cancel(hold_ticket ticket);

    /// Takes what packets of a flow told.
    void record(const flow_observation& evidence, time_point now);

    /// Decisions about held flows that are due; call about every 10 ms and
    /// after each flow_ended.
    std::vector<hold_outcome> poll(time_point now, wall_time wall_now);

    /// Requests to wake the director that are to be sent or repeated now.
    std::vector<director_request> due_director_requests(time_point now);

    /// Ends the repetition of a request.
    void acknowledge_director_request(service_id service,
                                      std::uint64_t episode);

    /// Load of this instance for its peers.
    protocol::load_report make_load_report(time_point now);

    /// The upstreams that take new flows, sorted by identity, with the weights
    /// in force. The default of a flow is rendezvous_choice over it.
    std::span<const protocol::settled_upstream>
    active_set(service_id service) const;

    /// Where packets of existing flows of this upstream go, or empty if it is
    /// unknown. The last address stays known for a while after the lease has
    /// ended, since the upstream may be alive behind a partition.
    std::optional<transport::endpoint> address_of(service_id service,
                                                  upstream_id upstream) const;

    /// All known records that are valid now, for gossip and for status.
    std::vector<protocol::upstream_record> records(time_point now) const;

    /// Takes the decisions noted since the last call, oldest first.
    std::vector<traffic_event> take_events();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Weighted rendezvous hashing: the upstream with the highest score for the
/// flow, or empty for an empty set. Removing an upstream changes the choice of
/// no flow that had another one.
std::optional<upstream_id>
rendezvous_choice(std::span<const protocol::settled_upstream> upstreams,
                  std::uint64_t flow_hash);

} // namespace boragestand::coordination
