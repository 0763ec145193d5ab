#include "entry_metrics.hpp"

#include "base/metrics_text.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::entry
{

namespace accumulators = boost::accumulators;

namespace
{

constexpr std::array<double, 5> probabilities{0.5, 0.75, 0.9, 0.95, 0.99};

template <typename Reason>
void append_by_reason(std::string& text, const std::string& name,
                      const std::string& help,
                      const std::map<Reason, std::uint64_t>& counts)
{
    append_header(text, name, help, "counter");
    for (const auto& [reason, count] : counts)
    {
        text += name + "{reason=\"" + std::string(name_of(reason)) + "\"} " +
                std::to_string(count) + '\n';
    }
}

void append_router_counters(std::string& text,
                            const coordination::router_counters& counters)
{
    append_counter(text, "boragestand_packets_total", "Packets decided",
                   counters.packets);
    append_counter(text, "boragestand_packets_to_upstream_total",
                   "Packets sent to an upstream",
                   counters.forwarded_to_upstream);
    append_counter(text, "boragestand_packets_to_instance_total",
                   "Packets passed to another entry instance",
                   counters.forwarded_to_instance);
    append_counter(text, "boragestand_flows_opened_total",
                   "Flows placed by this owner", counters.flows_opened);
    append_counter(text, "boragestand_flows_completed_total",
                   "Flows that ended complete", counters.flows_completed);
    append_counter(text, "boragestand_flows_adopted_total",
                   "Flows taken over from another owner",
                   counters.flows_adopted);
    append_counter(text, "boragestand_flows_held_total",
                   "Flows that waited for a slot", counters.flows_held);
    append_counter(text, "boragestand_flows_refused_total",
                   "Flows refused under a director's agreement",
                   counters.flows_refused);
    append_counter(text, "boragestand_pins_sent_total", "Pins sent to backups",
                   counters.pins_sent);
    append_counter(text, "boragestand_pins_received_total",
                   "Pins received as backup", counters.pins_received);
    append_counter(text, "boragestand_control_bytes_sent_total",
                   "Bytes of messages to other entry instances",
                   counters.control_bytes_sent);
}

} // namespace

duration_summary::duration_summary()
    : samples_(accumulators::tag::extended_p_square::probabilities =
                   probabilities)
{
}

void duration_summary::add(duration sample)
{
    samples_(std::chrono::duration<double>(sample).count());
}

void duration_summary::append_to(std::string& text, const std::string& name,
                                 const std::string& help) const
{
    append_header(text, name, help, "summary");
    // The P-square estimator needs at least one sample for each of its markers
    // before its quantiles are defined.
    if (accumulators::count(samples_) > 2 * probabilities.size() + 3)
    {
        const auto quantiles = accumulators::extended_p_square(samples_);
        for (std::size_t i = 0; i < probabilities.size(); ++i)
        {
            text += name + "{quantile=\"" +
                    std::to_string(probabilities[i]).substr(0, 4) + "\"} " +
                    std::to_string(quantiles[i]) + '\n';
        }
    }
    text += name + "_sum " + std::to_string(accumulators::sum(samples_)) + '\n';
    text +=
        name + "_count " + std::to_string(accumulators::count(samples_)) + '\n';
}

void entry_metrics::count_drop(coordination::drop_reason reason)
{
    ++drops_[reason];
}

void entry_metrics::count_placement(coordination::placement_reason reason)
{
    ++placements_[reason];
}

std::string entry_metrics::text(const coordination::flow_router& router,
                                const transport::udp_counters& packets) const
{
    std::string text;
    append_router_counters(text, router.counters());
    append_gauge(text, "boragestand_flows", "Flows held by this owner",
                 router.flow_count());
    append_gauge(text, "boragestand_revision",
                 "Revision of the configuration in effect", router.revision());
    append_counter(text, "boragestand_datagrams_received_total",
                   "Geneve datagrams received", packets.received);
    append_counter(text, "boragestand_datagrams_sent_total",
                   "Geneve datagrams sent", packets.sent);
    append_counter(text, "boragestand_datagrams_truncated_total",
                   "Geneve datagrams too long to receive", packets.truncated);
    append_counter(text, "boragestand_send_failures_total",
                   "Geneve datagrams that the kernel did not take",
                   packets.send_failures);
    append_counter(text, "boragestand_bad_messages_total",
                   "Peer messages that could not be decoded", bad_messages_);
    append_by_reason(text, "boragestand_drops_total",
                     "Packets dropped without an answer", drops_);
    append_by_reason(text, "boragestand_placements_total",
                     "Flows placed, by reason", placements_);
    hold_time_.append_to(text, "boragestand_hold_seconds",
                         "Time that held flows waited");
    decision_time_.append_to(text, "boragestand_decision_seconds",
                             "Time of a packet decision, mean of a batch");
    return text;
}

} // namespace boragestand::entry
