#include "coordination/service_times.hpp"

#include <algorithm>
#include <cmath>

namespace boragestand::coordination
{

namespace
{

constexpr double sample_weight = 1.0 / 32;

// From this many flows per slot on, one extra flow is queued at the upstream,
// since the gaps between flows vary.
constexpr double extra_flow_threshold = 1.2;

// Upper bound for services whose handshakes take most of the time.
constexpr double max_flows_per_slot = 2.5;

// Held flows are released every 10 ms, so they wait for 5 ms on average.
constexpr double mean_release_delay_us = 5000;

duration microseconds_of(double value)
{
    return duration(static_cast<duration::rep>(value));
}

} // namespace

void service_times::record(const flow_observation& observation)
{
    if (const auto* made = std::get_if<flow_established>(&observation.event))
    {
        handshake_.add(made->handshake_time);
        return;
    }
    const auto* ended = std::get_if<flow_ended>(&observation.event);
    if (ended == nullptr || ended->end != flow_end::completed)
    {
        return;
    }
    const bool is_long = observation.work == protocol::request_class::long_work;
    (is_long ? long_open_ : short_open_).add(ended->age);
}

duration service_times::mean_open_time(bool is_long) const
{
    return microseconds_of((is_long ? long_open_ : short_open_).value());
}

std::uint32_t service_times::flows_to_fill(std::uint32_t slots) const
{
    const double open = short_open_.value();
    const double busy = open - 2 * handshake_.value() - mean_release_delay_us;
    const double flows_per_slot =
        busy * max_flows_per_slot > open ? open / busy : max_flows_per_slot;
    if (slots == 0 || open <= 0 || flows_per_slot < 1.0)
    {
        return slots;
    }
    const auto flows =
        static_cast<std::uint32_t>(std::ceil(slots * flows_per_slot));
    return flows_per_slot < extra_flow_threshold ? flows : flows + 1;
}

void service_times::mean_time::add(duration value)
{
    const auto sample = static_cast<double>(value.count());
    value_ = known_ ? value_ + (sample - value_) * sample_weight : sample;
    known_ = true;
}

} // namespace boragestand::coordination
