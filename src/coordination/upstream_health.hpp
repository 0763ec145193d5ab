#pragma once

#include "coordination/traffic_types.hpp"

#include <map>
#include <set>
#include <vector>

namespace boragestand::coordination
{

/// Thresholds of passive health checking and ejection.
struct health_limits
{
    /// Upstreams of a service that may be ejected at once, in percent, rounded
    /// up by less than one percentage point so that 33 stands for a third.
    unsigned ejection_percent{33};
    /// Unanswered SYNs within the window that eject an upstream, if they
    /// outnumber the answered ones.
    unsigned failures{3};
    /// Observations count for one to two windows.
    duration window{std::chrono::seconds(2)};
    duration first_back_off{std::chrono::seconds(5)};
    duration longest_back_off{std::chrono::seconds(60)};
    /// Handshakes that end the trial of an upstream after its back-off.
    unsigned trial_handshakes{3};
    /// A mean handshake time over this is slow if it is also slow_factor times
    /// the median of the service's upstreams.
    duration slow_handshake{std::chrono::milliseconds(500)};
    unsigned slow_factor{8};
    /// Time for which an endpoint is ignored after flows contradicted it.
    duration distrust{std::chrono::seconds(30)};

    auto operator<=>(const health_limits&) const = default;
};

/// Health of the upstreams of one service, mainly determined passively from
/// their flows. Failing upstreams are ejected and return after a back-off.
class upstream_health
{
public:
    upstream_health(service_id service, const health_limits& limits);

    /// Records what the packets of a flow showed (in-band observation).
    void record(const flow_observation& observation, time_point now);

    /// Records the answer of a health endpoint. It has an effect only while
    /// in-band observations do not contradict it.
    void record(const endpoint_report& report, time_point now);

    /// Records that the load endpoint of an upstream contradicts the flow
    /// counts.
    void record_load_contradiction(upstream_id upstream, time_point now);

    /// Whether the endpoints of an upstream are currently trusted.
    bool trusts_endpoints(upstream_id upstream, time_point now) const;

    /// Ejects and restores upstreams among the given ones; returns whether the
    /// result of is_ejected() or is_on_trial() changed for any. Removes the
    /// state of all other upstreams.
    bool update(const std::vector<upstream_id>& ready, time_point now);

    /// Whether the upstream gets no new flows.
    bool is_ejected(upstream_id upstream) const;

    /// Whether the upstream returned from an ejection and has not yet answered
    /// trial_handshakes handshakes.
    bool is_on_trial(upstream_id upstream) const;

    /// Number of contradictions between endpoints and in-band observations.
    std::uint64_t contradictions() const { return contradictions_; }

    /// Removes and returns the events recorded since the last call.
    std::vector<traffic_event> take_events();

private:
    enum class health_status
    {
        good,
        ejected,
        trial
    };

    struct handshake_counts
    {
        unsigned answered{0};
        unsigned unanswered{0};
        duration handshake_sum{0};
    };

    struct health_entry
    {
        health_status status{health_status::good};
        handshake_counts current;
        handshake_counts previous; ///< of the previous window
        time_point window_start;
        time_point back_off_end;
        duration back_off{0};
        time_point good_since;
        unsigned trial_answers{0};
        bool endpoint_unhealthy{false};
        time_point distrusted_until{time_point::min()};
    };

    handshake_counts recent_counts(const health_entry& entry) const;
    bool is_failing(const health_entry& entry, duration median) const;
    duration median_handshake() const;
    void rotate_window(health_entry& entry, time_point now) const;
    void record_contradiction(upstream_id upstream, const char* what,
                              time_point now);
    void eject(upstream_id upstream, health_entry& entry, time_point now);
    void start_trial(upstream_id upstream, health_entry& entry,
                     const char* reason);
    void restore_one();
    bool advance(upstream_id upstream, health_entry& entry, time_point now);
    std::size_t ejection_bound(std::size_t ready) const;
    void add_event(const char* event, upstream_id upstream, const char* reason);

    service_id service_;
    health_limits limits_;
    std::map<upstream_id, health_entry> entries_;
    std::uint64_t contradictions_{0};
    std::vector<traffic_event> events_;
};

} // namespace boragestand::coordination
