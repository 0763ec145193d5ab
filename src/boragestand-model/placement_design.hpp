#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"

#include <functional>
#include <memory>

namespace boragestand::model
{

/// Interface of the load model to a design that places new flows.
class placement_design
{
public:
    /// Called when a flow is placed, dropped or refused. The ticket identifies
    /// the flow.
    struct callbacks
    {
        std::function<void(std::uint64_t ticket, upstream_id upstream)> placed;
        std::function<void(std::uint64_t ticket)> dropped;
        std::function<void(std::uint64_t ticket)> refused;
    };

    virtual ~placement_design() = default;

    /// Handles a SYN at the instance that decides on the flow.
    virtual void arrive(const coordination::flow_arrival& arrival) = 0;

    /// Applies an observation made on the packets of a flow.
    virtual void apply(const coordination::flow_observation& observation) = 0;

    /// Applies the report of a load endpoint at all instances.
    virtual void apply(const coordination::endpoint_report& report) = 0;

    /// Applies the announcement of an upstream at all instances.
    virtual void apply(const protocol::upstream_record& record) = 0;
};

/// Makes a design of this kind with upstream_count upstreams.
std::unique_ptr<placement_design>
make_placement_design(design_kind kind, event_queue& events,
                      const network_delays& delays,
                      placement_design::callbacks actions);

} // namespace boragestand::model
