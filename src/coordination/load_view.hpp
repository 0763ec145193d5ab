#pragma once

#include "coordination/traffic_types.hpp"

#include <map>
#include <vector>

namespace boragestand::coordination
{

/// Age at which a peer's load report is discarded.
constexpr duration report_age_limit = std::chrono::seconds(2);

/// Estimated flows of one upstream, summed over all owner instances.
struct estimated_load
{
    std::uint32_t open{0};
    std::uint32_t running{0};
    std::uint32_t long_work{0};

    auto operator<=>(const estimated_load&) const = default;
};

/// Load of the upstreams of one service: this owner's counts and those that its
/// peers report.
class load_view
{
public:
    explicit load_view(instance_id self) : self_(self) {}

    /// A flow of this owner was opened on the upstream.
    void add_open_flow(upstream_id upstream);

    /// A flow of this owner on the upstream ended.
    void remove_open_flow(upstream_id upstream);

    /// A flow of this owner began to occupy a slot of the upstream.
    void add_running_flow(upstream_id upstream, bool is_long);

    /// A flow of this owner released its slot.
    void remove_running_flow(upstream_id upstream, bool is_long);

    /// A flow that occupies a slot was classified as long work.
    void mark_long(upstream_id upstream);

    /// Replaces the loads that a peer reported for this service.
    void apply(instance_id from, std::vector<protocol::upstream_load> loads,
               time_point now);

    /// Removes the report of an instance.
    void remove_report(instance_id instance);

    /// Removes reports older than report_age_limit.
    void advance(time_point now);

    /// Load over all owners. Each peer is assumed to have added as many running
    /// flows since its report as this owner has since its own, because owners
    /// that see the same reports make the same choices.
    estimated_load estimate(upstream_id upstream) const;

    /// Appends this owner's counts to a report and stores them as the last
    /// reported ones.
    void add_to_report(service_id service, protocol::load_report& report);

    /// Whether this owner may use the last slots of an upstream for long work.
    /// Exactly one of the owners with a valid report may, provided that all of
    /// them have reports of the same peers.
    bool may_fill_with_long(upstream_id upstream) const;

    /// Number of owners with a valid report, this one included.
    std::uint32_t owner_count() const
    {
        return 1 + static_cast<std::uint32_t>(peers_.size());
    }

private:
    struct own_load
    {
        estimated_load current;
        std::uint32_t reported{0}; ///< running flows at the last report
    };

    struct peer_load
    {
        time_point received_at;
        std::vector<protocol::upstream_load> loads;
    };

    void sum_peers();

    instance_id self_;
    std::map<upstream_id, own_load> own_;
    std::map<upstream_id, estimated_load> peer_sums_;
    std::map<instance_id, peer_load> peers_;
};

} // namespace boragestand::coordination
