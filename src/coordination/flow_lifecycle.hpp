#pragma once

#include "coordination/flow_events.hpp"
#include "coordination/router_state.hpp"

namespace boragestand::coordination
{

/// A packet with its service, flow key and flow hash.
struct classified_packet
{
    const packet_event& event;
    service_table::entry& service;
    protocol::flow_key key;
    std::uint64_t hash{0};
};

/// Start and end of the flows that this instance owns: admission, holding,
/// adoption, transfer, and the reports to placement about them.
class flow_lifecycle
{
public:
    explicit flow_lifecycle(router_state& state) : state_(state) {}

    /// Asks admission about a new flow and applies the decision.
    packet_decision open(const classified_packet& packet);

    /// Records a flow that another instance placed, and forwards its packet.
    packet_decision adopt(const classified_packet& packet, upstream_id upstream,
                          placement_reason reason);

    /// Holds the first packet of a flow that a lost member may own. Returns
    /// false if there is no room.
    bool hold_for_owner(const classified_packet& packet);

    /// Places a flow again whose upstream is gone; no data may have come.
    packet_decision place_again(const classified_packet& packet,
                                state::flow_slot slot);

    /// Sends a packet of a recorded flow to its upstream.
    packet_decision forward(state::flow_slot slot, placement_reason reason);

    /// Adds a flow that its former owner transferred. Returns false if this
    /// instance does not own it or there is no room.
    bool accept_transfer(const protocol::flow_transfer& transfer,
                         time_point now);

    /// Marks a flow as moved after its new owner confirmed the transfer. The
    /// record is kept for late packets.
    void complete_transfer(flow_reference flow, time_point now);

    /// Applies a decision of the hold queue.
    void apply_hold_outcome(const hold_outcome& outcome, time_point now);

    /// Releases the first packet of a flow whose pin is confirmed.
    void handle_pin_confirmation(flow_reference flow, time_point now);

    /// Decides waiting flows whose backup is lost or too slow.
    void check_pin_waits(time_point now);

    /// Removes a held flow whose caller gave up.
    void cancel_held(state::flow_slot slot, time_point now);

    /// Delivers or discards an answer, matched by its request identity only.
    void handle_answer(const answer_seen& answer, time_point now,
                       router_effects& effects);

    /// Handles a request that its caller cancelled.
    void cancel_request(const request_cancelled& cancelled, time_point now);

    /// Reports an observation from a packet of the flow to placement.
    template <typename Observation>
    void report_observation(const state::flow_record& record, Observation what,
                            time_point now)
    {
        flow_observation observation;
        observation.service = record.service;
        observation.flow_hash = record.hash;
        observation.upstream = state_.addresses[record.upstream].upstream;
        observation.work = record.work;
        observation.event = what;
        state_.traffic.record(observation, now);
    }

    /// Reports the end of the flow to placement, once.
    void report_end(state::flow_record& record, flow_end end, time_point now);

    /// Whether the flow cannot be found again without a pin.
    bool needs_pin(const state::flow_record& record) const;

    /// Removes a flow from the table.
    void erase(state::flow_slot slot);

private:
    void apply_transferred_end(state::flow_record& flow,
                               const protocol::flow_transfer& transfer,
                               time_point now);
    flow_arrival make_arrival(const classified_packet& packet) const;
    state::flow_slot insert_flow(const classified_packet& packet);
    packet_decision apply_admission(const classified_packet& packet,
                                    state::flow_slot slot,
                                    const admission& decision);
    packet_decision reject(const admission& decision, bool was_forwarded);
    packet_decision start_flow(state::flow_slot slot, const placed& place,
                               hold_ticket ticket, time_point now);
    void bind(state::flow_record& record, upstream_id upstream,
              const transport::endpoint* address);
    void unbind(state::flow_record& record);
    void mark_exception(state::flow_slot slot, time_point now);
    bool is_non_idempotent_udp(const state::flow_record& record) const;
    bool must_await_pin(const state::flow_record& record) const;
    void finish_wait(const held_flow& held, time_point now);

    router_state& state_;
};

} // namespace boragestand::coordination
