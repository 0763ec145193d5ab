#pragma once

#include "traffic/upstream_load.hpp"

#include <unordered_map>

namespace boragestand::traffic
{

/// Slow start of upstreams that have just started or recovered. It answers the
/// load of releases, flapping upstreams and returns after a failure: an
/// upstream that is given its whole share at once is overloaded while it is
/// cold, one that is held back for a fixed time stays idle. Each aggregate of
/// the load doubles or halves the share, by how the upstream has answered
/// compared with the others of its service. Computed from joined load, so that
/// all entry instances come to about the same share. Reads no clock.
class recovery_pace
{
public:
    /// Shares of what a warm upstream gets, at the start and at least.
    static constexpr double first_share = 0.25;
    static constexpr double smallest_share = 0.125;

    /// Service may take this many times as long as at warm upstreams.
    static constexpr double slow_limit = 1.5;

    /// More of the requests without an answer halve the share.
    static constexpr double failing_limit = 0.2;

    /// An upstream without any traffic gets more after this time.
    static constexpr duration idle_limit = std::chrono::seconds(2);

    /// The upstream starts or recovers now.
    void begin(routing_token upstream, time_point now)
    {
        recovering_[upstream] = {first_share, now};
    }

    /// Takes a new aggregate. usual_ms is the usual service time of warm
    /// upstreams of its service; 0 if it is not known.
    void step(const loaded_upstream& upstream, const joined_load& load,
              double usual_ms, time_point now);

    /// Whether the upstream recovers.
    bool is_recovering(routing_token upstream) const
    {
        return recovering_.contains(upstream);
    }

    /// Its share, from smallest_share to 1.
    double share(routing_token upstream) const;

    /// The upstream is gone.
    void forget(routing_token upstream) { recovering_.erase(upstream); }

    std::size_t size() const { return recovering_.size(); }

private:
    struct recovery
    {
        double share{first_share};
        time_point started;
    };

    std::unordered_map<routing_token, recovery> recovering_;
};

} // namespace boragestand::traffic
