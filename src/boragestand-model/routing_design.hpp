#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace boragestand::model
{

/// Interface of the flow model to a design that routes packets of flows.
/// Instances are numbered from 1.
class routing_design
{
public:
    /// Called when an instance sends a packet to an upstream.
    using delivery =
        std::function<void(unsigned instance, upstream_id upstream,
                           const coordination::packet_event& packet)>;

    virtual ~routing_design() = default;

    /// Handles a packet that arrives from the fabric.
    virtual void handle_packet(unsigned instance,
                               const coordination::packet_event& event) = 0;

    /// Delivers the announcement of an upstream to an instance.
    virtual void announce(unsigned instance,
                          const protocol::upstream_record& record) = 0;

    /// Distributes a configuration to all instances with different delays.
    virtual void
    configure(std::shared_ptr<const state::configuration> configuration) = 0;

    /// Starts an instance that does not run.
    virtual void start(unsigned instance) = 0;

    /// Begins a planned stop.
    virtual void stop(unsigned instance) = 0;

    /// Kills an instance without a planned stop.
    virtual void kill(unsigned instance) = 0;

    /// Whether the instance runs and accepts packets.
    virtual bool runs(unsigned instance) const = 0;

    /// Partitions the network: instances above this number cannot reach the
    /// others. 0 heals the partition.
    virtual void set_partition_after(unsigned instance) = 0;

    /// Control bytes that the instances have sent to each other in total.
    virtual std::uint64_t control_bytes() const = 0;
};

/// Makes a design of this kind with owner_count running instances.
std::unique_ptr<routing_design>
make_routing_design(design_kind kind, event_queue& events,
                    const network_delays& delays, std::uint64_t seed,
                    routing_design::delivery deliver);

} // namespace boragestand::model
