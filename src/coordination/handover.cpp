#include "coordination/handover.hpp"

#include "coordination/router_clock.hpp"

#include <algorithm>

namespace boragestand::coordination
{

using state::flow_record;

namespace
{

/// Encoded size of a transfer in bytes, rounded up.
constexpr double transfer_bytes = 46;
/// Keeps a batch below max_entry_message_size.
constexpr std::size_t max_transfers = 27;
constexpr duration first_retransmit_delay = std::chrono::milliseconds(200);
constexpr unsigned max_doublings = 3;

/// Whether the flow has come closer to its end since it was sent.
bool has_ended_since(const protocol::flow_transfer& sent,
                     const flow_record& record)
{
    return (record.finished && !sent.finished) ||
           (record.state == state::flow_state::closing && !sent.ended);
}

} // namespace

handover::handover(const router_settings& settings, state::flow_table& flows,
                   const upstream_addresses& addresses)
    : settings_(settings)
    , flows_(flows)
    , addresses_(addresses)
    , budget_(settings.handover_bytes_per_second,
              std::max(settings.handover_bytes_per_second / 10,
                       transfer_bytes * max_transfers))
{
}

bool handover::offer(flow_reference flow, instance_id successor, time_point now)
{
    if (settings_.faults.no_handover || !budget_.take(transfer_bytes, now))
    {
        return false;
    }
    flows_[flow.slot].transferring = true;
    offered_[successor].push_back(flow);
    return true;
}

void handover::tick(const membership& members, time_point now,
                    router_effects& effects)
{
    for (auto& [successor, flows] : offered_)
    {
        for (std::size_t first = 0; first < flows.size();
             first += max_transfers)
        {
            sent_batch next;
            next.successor = successor;
            next.sent = now;
            next.batch.sequence = ++sequence_;
            const auto end = std::min(flows.size(), first + max_transfers);
            for (std::size_t index = first; index < end; ++index)
            {
                const flow_reference flow = flows[index];
                if (!flows_.holds(flow.slot, flow.hash))
                {
                    continue;
                }
                const auto& record = flows_[flow.slot];
                next.batch.flows.push_back(make_transfer(record, now));
                next.flows.push_back(flow);
            }
            if (next.flows.empty())
            {
                continue;
            }
            effects.push_back(
                send_to_instance{successor, members.envelope(next.batch)});
            unconfirmed_.emplace(next.batch.sequence, std::move(next));
        }
        flows.clear();
    }
    for (auto& [sequence, sent] : unconfirmed_)
    {
        if (now - sent.sent >=
            first_retransmit_delay * (1U << sent.retransmits))
        {
            sent.sent = now;
            sent.retransmits = std::min(sent.retransmits + 1, max_doublings);
            effects.push_back(
                send_to_instance{sent.successor, members.envelope(sent.batch)});
        }
    }
}

void handover::handle_ack(instance_id from, std::uint32_t sequence,
                          std::vector<flow_reference>& confirmed)
{
    const auto found = unconfirmed_.find(sequence);
    if (found == unconfirmed_.end() || found->second.successor != from)
    {
        return;
    }
    const sent_batch& sent = found->second;
    for (std::size_t index = 0; index < sent.flows.size(); ++index)
    {
        const flow_reference flow = sent.flows[index];
        if (!flows_.holds(flow.slot, flow.hash) ||
            !flows_[flow.slot].transferring)
        {
            continue;
        }
        flow_record& record = flows_[flow.slot];
        if (has_ended_since(sent.batch.flows[index], record))
        {
            // The new owner would keep the flow until the idle limit.
            offered_[from].push_back(flow);
            continue;
        }
        record.transferring = false;
        confirmed.push_back(flow);
        ++flows_transferred_;
    }
    unconfirmed_.erase(found);
}

protocol::flow_transfer handover::make_transfer(const flow_record& record,
                                                time_point now) const
{
    return {record.key(),
            addresses_[record.upstream].upstream,
            to_record_ms(now) - record.opened_ms,
            record.acknowledgement,
            record.work,
            record.has_data,
            record.finished,
            record.state == state::flow_state::closing};
}

void handover::cancel_offers()
{
    for (auto& [successor, flows] : offered_)
    {
        clear_transferring(flows);
    }
    offered_.clear();
    for (auto& [sequence, sent] : unconfirmed_)
    {
        clear_transferring(sent.flows);
    }
    unconfirmed_.clear();
}

void handover::clear_transferring(const std::vector<flow_reference>& flows)
{
    for (const flow_reference flow : flows)
    {
        if (flows_.holds(flow.slot, flow.hash))
        {
            flows_[flow.slot].transferring = false;
        }
    }
}

} // namespace boragestand::coordination
