#pragma once

#include "coordination/traffic_types.hpp"

namespace boragestand::coordination
{

/// Mean handshake and open times of the flows of one service.
class service_times
{
public:
    /// Adds the times of a flow.
    void record(const flow_observation& observation);

    /// Mean time from the placement of a flow until its end is seen; 0 if none
    /// has ended.
    duration mean_open_time(bool is_long) const;

    /// Number of flows that keeps this many slots busy. A slot is idle during
    /// the handshake of its next flow and until the owner sees the end of the
    /// last one, each about one handshake time, so short work needs more flows
    /// than slots.
    std::uint32_t flows_to_fill(std::uint32_t slots) const;

private:
    /// Exponentially weighted mean in microseconds.
    class mean_time
    {
    public:
        void add(duration value);
        double value() const { return value_; }

    private:
        double value_{0};
        bool known_{false};
    };

    mean_time handshake_;
    mean_time short_open_;
    mean_time long_open_;
};

} // namespace boragestand::coordination
