#pragma once

#include "routing_design.hpp"

#include <map>

namespace boragestand::model
{

/// Design in which all instances run flow_router, with or without pins. A pin
/// is the copy of a flow's upstream at a backup instance.
class router_routing : public routing_design
{
public:
    router_routing(event_queue& events, const network_delays& delays,
                   std::uint64_t seed, bool with_pins, delivery deliver);

    void handle_packet(unsigned instance,
                       const coordination::packet_event& event) override;
    void announce(unsigned instance,
                  const protocol::upstream_record& record) override;
    void configure(
        std::shared_ptr<const state::configuration> configuration) override;
    void start(unsigned instance) override;
    void stop(unsigned instance) override;
    void kill(unsigned instance) override;
    bool runs(unsigned instance) const override;
    void set_partition_after(unsigned instance) override
    {
        partition_after_ = instance;
    }
    std::uint64_t control_bytes() const override;

private:
    using event_content = decltype(coordination::router_event::content);

    struct router_instance
    {
        std::unique_ptr<coordination::flow_router> router;
        std::uint64_t generation{0};
        std::map<std::uint64_t, coordination::packet_event> held;
        std::uint64_t previous_bytes{0}; ///< sent before the last start
    };

    void step(unsigned instance, event_content what);
    void tick(unsigned instance, std::uint64_t generation);
    void apply_effects(unsigned instance, coordination::router_effects effects);
    void apply_decision(unsigned instance,
                        const coordination::packet_event& event,
                        const coordination::packet_decision& decision);
    bool connected(unsigned left, unsigned right) const;

    event_queue& events_;
    network_delays delays_;
    random_generator random_;
    std::uint64_t seed_;
    bool with_pins_;
    delivery deliver_;
    std::vector<router_instance> instances_;
    std::shared_ptr<const state::configuration> configuration_;
    std::uint64_t next_ticket_{1};
    unsigned partition_after_{0};
};

} // namespace boragestand::model
