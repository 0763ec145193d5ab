#pragma once

#include "coordination/flow_events.hpp"
#include "coordination/membership.hpp"
#include "coordination/pin_sender.hpp"

#include <map>
#include <vector>

namespace boragestand::coordination
{

/// Transfers flows to the instance that owns them now, at a bounded rate:
/// all flows at a planned stop, some when an instance joins.
class handover
{
public:
    handover(const router_settings& settings, state::flow_table& flows,
             const upstream_addresses& addresses);

    /// Offers a flow to its new owner. Returns false if the rate is used up;
    /// the flow is to be offered again later.
    bool offer(flow_reference flow, instance_id successor, time_point now);

    /// Sends the offered flows and retransmits unconfirmed batches.
    void tick(const membership& members, time_point now,
              router_effects& effects);

    /// Handles the confirmation of a batch. Appends the flows whose transfer is
    /// complete.
    void handle_ack(instance_id from, std::uint32_t sequence,
                    std::vector<flow_reference>& confirmed);

    /// Cancels all unconfirmed offers after a change of the view, so that the
    /// flows are offered to their present owners.
    void cancel_offers();

    /// Flows that were transferred since the start.
    std::uint64_t flows_transferred() const { return flows_transferred_; }

private:
    struct sent_batch
    {
        protocol::handover_batch batch;
        std::vector<flow_reference> flows;
        instance_id successor;
        time_point sent;
        unsigned retransmits{0};
    };

    void clear_transferring(const std::vector<flow_reference>& flows);
    protocol::flow_transfer make_transfer(const state::flow_record& record,
                                          time_point now) const;

    const router_settings& settings_;
    state::flow_table& flows_;
    const upstream_addresses& addresses_;
    token_bucket budget_;
    std::map<instance_id, std::vector<flow_reference>> offered_;
    std::map<std::uint32_t, sent_batch> unconfirmed_;
    std::uint32_t sequence_{0};
    std::uint64_t flows_transferred_{0};
};

} // namespace boragestand::coordination
