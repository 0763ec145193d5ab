#pragma once

#include "event_queue.hpp"
#include "model_types.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace boragestand::model
{

/// How entry instances route packets of flows, as the flow model sees them.
/// Instances are numbered from 1.
class routing_design
{
public:
    /// Called when a packet is sent to an upstream by an instance.
    using delivery =
        std::function<void(unsigned instance, upstream_id upstream,
                           const coordination::packet_event& packet)>;

    virtual ~routing_design() = default;

    /// A packet arrives from the fabric.
    virtual void packet(unsigned instance,
                        const coordination::packet_event& event) = 0;

    /// An upstream announces itself to an instance.
    virtual void announce(unsigned instance,
                          const protocol::upstream_record& record) = 0;

    /// All instances get a configuration, each at its own time.
    virtual void
    configure(std::shared_ptr<const state::configuration> configuration) = 0;

    /// Starts an instance that does not run.
    virtual void start(unsigned instance) = 0;

    /// Begins a planned stop.
    virtual void stop(unsigned instance) = 0;

    /// Ends an instance at once.
    virtual void kill(unsigned instance) = 0;

    /// Whether the instance takes packets.
    virtual bool runs(unsigned instance) const = 0;

    /// Instances above this number cannot reach the others; 0 for none.
    virtual void cut_after(unsigned instance) = 0;

    /// Bytes that all instances sent to each other since the start.
    virtual std::uint64_t control_bytes() const = 0;
};

/// The design of this kind with owner_count running instances.
std::unique_ptr<routing_design>
make_routing_design(design_kind kind, event_queue& events,
                    const network_delays& delays, std::uint64_t seed,
                    routing_design::delivery deliver);

} // namespace boragestand::model
