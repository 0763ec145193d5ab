#pragma once

#include "coordination/traffic_types.hpp"

#include <map>
#include <vector>

namespace boragestand::coordination
{

/// Reports older than this count no more.
constexpr duration report_age_limit = std::chrono::seconds(2);

/// Flows of one upstream over all owners, as far as this owner can tell.
struct estimated_load
{
    std::uint32_t open{0};
    std::uint32_t running{0};
    std::uint32_t long_work{0};

    auto operator<=>(const estimated_load&) const = default;
};

/// Own flow counts and reported ones of the other owners for one service.
class load_view
{
public:
    explicit load_view(instance_id self) : self_(self) {}

    /// A flow of this owner was opened on the upstream.
    void opened(upstream_id upstream);

    /// A flow of this owner on the upstream ended.
    void closed(upstream_id upstream);

    /// A flow of this owner occupies a slot of the upstream from now on.
    void started(upstream_id upstream, bool is_long);

    /// A flow of this owner occupies its slot no more.
    void stopped(upstream_id upstream, bool is_long);

    /// A flow that occupies a slot is long from now on.
    void became_long(upstream_id upstream);

    /// Takes the part of a report that is about this service.
    void apply(instance_id from, std::vector<protocol::upstream_load> loads,
               time_point now);

    /// Forgets the report of an instance.
    void remove_report(instance_id instance);

    /// Drops reports that are too old.
    void advance(time_point now);

    /// Load over all owners. Peers are taken to have added as many running
    /// flows since their reports as this owner did since its own: owners that
    /// see the same reports choose alike.
    estimated_load estimate(upstream_id upstream) const;

    /// Adds own counts of a service to a report, and takes them as those that
    /// the peers know.
    void add_to_report(service_id service, protocol::load_report& report);

    /// Whether this owner, among those with a valid report, is the one that may
    /// take the last slots of an upstream for long work. Exactly one is, as far
    /// as the owners know of the same peers.
    bool reserves(upstream_id upstream) const;

    /// Number of owners with a valid report, this one included.
    std::uint32_t owners() const
    {
        return 1 + static_cast<std::uint32_t>(peers_.size());
    }

private:
    struct own_load
    {
        estimated_load now;
        std::uint32_t reported{0}; ///< running flows at the last report
    };

    struct peer_load
    {
        time_point at;
        std::vector<protocol::upstream_load> loads;
    };

    void sum_peers();

    instance_id self_;
    std::map<upstream_id, own_load> own_;
    std::map<upstream_id, estimated_load> peer_sums_;
    std::map<instance_id, peer_load> peers_;
};

} // namespace boragestand::coordination
