#pragma once

#include "coordination/flow_lifecycle.hpp"

namespace boragestand::coordination
{

/// Decides about single packets. Allocates nothing for flows in the table.
class packet_path
{
public:
    packet_path(router_state& state, flow_lifecycle& lifecycle)
        : state_(state), lifecycle_(lifecycle)
    {
    }

    /// Decides about one packet.
    packet_decision decide(const packet_event& event);

    /// Decides about held packets of unknown flows once the lost members have
    /// been checked.
    void check_owner_waits(time_point now);

private:
    packet_decision decide_known(const classified_packet& packet,
                                 state::flow_slot slot);
    static bool may_be_outdated(const state::flow_record& record,
                                time_point now);
    packet_decision decide_syn(const classified_packet& packet,
                               state::flow_slot slot);
    bool may_place_again(const classified_packet& packet,
                         const state::flow_record& record) const;
    void observe(const classified_packet& packet, state::flow_record& record);
    void observe_tcp(const classified_packet& packet,
                     state::flow_record& record);
    void observe_progress(const classified_packet& packet,
                          state::flow_record& record);

    packet_decision decide_unknown(const classified_packet& packet);
    bool must_return_to_owner(const classified_packet& packet) const;
    packet_decision decide_as_owner(const classified_packet& packet);
    packet_decision decide_lookup(const classified_packet& packet);
    void finish_wait(const held_flow& waiting, time_point now);
    std::optional<packet_decision>
    forward_to_former_owner(const classified_packet& packet) const;
    std::optional<upstream_id>
    former_default(const classified_packet& packet) const;
    packet_decision adopt_unknown(const classified_packet& packet);
    packet_decision decide_unknown_udp(const classified_packet& packet);
    static packet_decision forward_to(instance_id instance,
                                      const packet_event& event);
    void count_decision(const packet_decision& decision);

    router_state& state_;
    flow_lifecycle& lifecycle_;
};

} // namespace boragestand::coordination
