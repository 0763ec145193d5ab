#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"

#include <functional>
#include <memory>

namespace boragestand::model
{

/// A way to place new flows, as the load model sees it.
class placement_design
{
public:
    /// What the load model does when a flow is placed or dropped; the flow is
    /// named by its ticket.
    struct reactions
    {
        std::function<void(std::uint64_t ticket, upstream_id upstream)> placed;
        std::function<void(std::uint64_t ticket)> dropped;
        std::function<void(std::uint64_t ticket)> refused;
    };

    virtual ~placement_design() = default;

    /// A SYN arrived at the instance that decides about it.
    virtual void arrive(const coordination::flow_arrival& arrival) = 0;

    /// Packets of a flow told something.
    virtual void note(const coordination::flow_observation& evidence) = 0;

    /// A load endpoint answered all instances.
    virtual void note(const coordination::endpoint_report& report) = 0;

    /// An upstream announced itself to all instances.
    virtual void note(const protocol::upstream_record& record) = 0;
};

/// The design of this kind over upstream_count upstreams.
std::unique_ptr<placement_design>
make_placement_design(design_kind kind, event_queue& events,
                      const network_delays& delays,
                      placement_design::reactions reactions);

} // namespace boragestand::model
