#pragma once

#include "coordination/flow_events.hpp"
#include "coordination/router_state.hpp"

namespace boragestand::coordination
{

/// A packet with what was found about it on the way in.
struct classified_packet
{
    const packet_event& event;
    service_table::entry& service;
    protocol::flow_key key;
    std::uint64_t hash{0};
};

/// Beginning and end of the flows that this instance owns: admission, holding,
/// adoption, transfer, and what placement is told about them.
class flow_lifecycle
{
public:
    explicit flow_lifecycle(router_state& state) : state_(state) {}

    /// Admits a flow that is not held.
    packet_decision open(const classified_packet& packet);

    /// Records a flow that another instance placed, and forwards its packet.
    packet_decision adopt(const classified_packet& packet, upstream_id upstream,
                          placement_reason reason);

    /// Holds the first packet of a flow that a lost member may own. Returns
    /// false if there is no room.
    bool await_owner(const classified_packet& packet);

    /// Places a flow again whose upstream is gone; no data may have come.
    packet_decision place_again(const classified_packet& packet,
                                state::flow_slot slot);

    /// Sends a packet of a recorded flow to its upstream.
    packet_decision forward(state::flow_slot slot, placement_reason reason);

    /// Takes a flow that its former owner transferred. Returns false if there
    /// is no room.
    bool take(const protocol::flow_transfer& transfer, time_point now);

    /// The successor has the flow; it stays here for late packets.
    void transferred(flow_reference flow, time_point now);

    /// Takes a decision of the hold queue.
    void release(const hold_outcome& outcome, time_point now);

    /// The pin of a flow that waited for it is confirmed.
    void pin_confirmed(flow_reference flow, time_point now);

    /// Decides waiting flows whose backup is lost or too slow.
    void check_waits(time_point now);

    /// The caller of a held flow gave up.
    void cancel_held(state::flow_slot slot, time_point now);

    /// An answer was seen; it is matched by its request identity only.
    void answer(const answer_seen& seen, time_point now,
                router_effects& effects);

    /// The caller cancelled a request.
    void cancel(const request_cancelled& cancelled, time_point now);

    /// Tells placement what a packet of the flow showed.
    template <typename Evidence>
    void note(const state::flow_record& record, Evidence what, time_point now)
    {
        flow_observation evidence;
        evidence.service = record.service;
        evidence.flow_hash = record.hash;
        evidence.upstream = state_.addresses[record.upstream].upstream;
        evidence.work = record.work;
        evidence.event = what;
        state_.traffic.record(evidence, now);
    }

    /// Tells placement once that the flow is over.
    void note_end(state::flow_record& record, flow_end end, time_point now);

    /// Whether the flow cannot be found again without a pin.
    bool needs_pin(const state::flow_record& record) const;

    /// Removes a flow from the table.
    void erase(state::flow_slot slot);

private:
    void learn_end(state::flow_record& record,
                   const protocol::flow_transfer& transfer, time_point now);
    flow_arrival arrival_of(const classified_packet& packet) const;
    state::flow_slot record(const classified_packet& packet);
    packet_decision admitted(const classified_packet& packet,
                             state::flow_slot slot, const admission& decision);
    packet_decision turned_away(const admission& decision, bool was_forwarded);
    packet_decision start(state::flow_slot slot, const placed& place,
                          hold_ticket ticket, time_point now);
    void bind(state::flow_record& record, upstream_id upstream,
              const transport::endpoint* address);
    void unbind(state::flow_record& record);
    void mark_exception(state::flow_slot slot, time_point now);
    bool runs_once(const state::flow_record& record) const;
    bool must_await_pin(const state::flow_record& record) const;
    void finish_wait(const held_flow& held, time_point now);

    router_state& state_;
};

} // namespace boragestand::coordination
