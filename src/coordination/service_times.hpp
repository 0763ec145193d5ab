#pragma once

#include "coordination/traffic_types.hpp"

namespace boragestand::coordination
{

/// Times that the flows of one service take, learned from their packets.
class service_times
{
public:
    /// Takes what packets of a flow told.
    void record(const flow_observation& evidence);

    /// Expected time from the placement of a flow until it is seen to end; 0 if
    /// nothing is known.
    duration open_time(bool is_long) const;

    /// Flows that keep this many slots busy. A slot is empty while the
    /// handshake of its next flow runs and while the end of its last one is on
    /// its way to the owner, each about one handshake time, so short work needs
    /// more flows than slots.
    std::uint32_t flows_for(std::uint32_t slots) const;

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
