#pragma once

#include "coordination/coordination.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace boragestand::entry
{

/// Streaming quantiles, sum and count of one quantity in seconds.
class duration_summary
{
public:
    duration_summary();

    /// Adds a sample.
    void add(duration sample);

    /// Appends the summary in the Prometheus text format.
    void append_to(std::string& text, const std::string& name,
                   const std::string& help) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square>>;

    accumulator samples_;
};

/// Metrics of an entry process besides the counters of the router.
class entry_metrics
{
public:
    /// Counts a dropped packet.
    void count_drop(coordination::drop_reason reason);

    /// Counts the placement of a new flow.
    void count_placement(coordination::placement_reason reason);

    /// Counts a peer message that is malformed or from an unknown sender.
    void count_bad_message() { ++bad_messages_; }

    /// Adds the time that a held flow waited for its decision.
    void add_hold_time(duration waited) { hold_time_.add(waited); }

    /// Adds the mean decision time per packet of a batch.
    void add_decision_time(duration per_packet)
    {
        decision_time_.add(per_packet);
    }

    /// Formats all metrics in the Prometheus text format.
    std::string text(const coordination::flow_router& router,
                     const transport::udp_counters& packets) const;

private:
    std::map<coordination::drop_reason, std::uint64_t> drops_;
    std::map<coordination::placement_reason, std::uint64_t> placements_;
    std::uint64_t bad_messages_{0};
    duration_summary hold_time_;
    duration_summary decision_time_;
};

} // namespace boragestand::entry
