#include "coordination/peer_exchange.hpp"

#include <algorithm>
#include <array>

namespace boragestand::coordination
{

namespace
{

/// Records in one message; one takes up to 110 bytes with a name of 40.
constexpr std::size_t max_records = 10;
/// Fraction of a lease after which a renewal is sent to the peers. The lease
/// survives the loss of one renewal, but not of two in a row.
constexpr double renewal_lease_fraction = 0.4;
constexpr duration load_interval = std::chrono::milliseconds(250);
/// A load report goes to each peer this often even without budget.
constexpr duration max_load_report_interval = std::chrono::seconds(2);
/// Budget in bytes that load reports leave for pins.
constexpr double pin_budget_reserve = 200;
/// Delays between the copies of a new settled set, which guard against loss.
constexpr std::array settled_copy_delays{
    std::chrono::milliseconds(100), std::chrono::milliseconds(300),
    std::chrono::milliseconds(1000), std::chrono::milliseconds(2000)};
constexpr duration settled_repeat_interval = std::chrono::seconds(15);
/// Budget that may accumulate, in seconds of its rate.
constexpr double budget_burst_seconds = 0.5;

bool differ_only_in_sequence(const protocol::upstream_record& left,
                             const protocol::upstream_record& right)
{
    protocol::upstream_record renewed = left;
    renewed.sequence = right.sequence;
    return renewed == right;
}

} // namespace

peer_exchange::peer_exchange(router_state& state, flow_lifecycle& lifecycle)
    : state_(state), lifecycle_(lifecycle)
{
}

void peer_exchange::receive(const protocol::entry_envelope& envelope,
                            time_point now, router_effects& effects)
{
    const instance_id from = envelope.from;
    const auto& message = envelope.message;
    if (const auto* load = std::get_if<protocol::load_report>(&message))
    {
        state_.traffic.apply(from, *load, now);
    }
    if (const auto* batch = std::get_if<protocol::upstream_batch>(&message))
    {
        for (const auto& record : batch->records)
        {
            apply(record, now);
        }
    }
    if (const auto* set = std::get_if<protocol::settled_set>(&message))
    {
        state_.settled.apply_announcement(from, envelope.incarnation, *set);
    }
    if (const auto* batch = std::get_if<protocol::pin_batch>(&message))
    {
        state_.counters.pins_received += batch->added.size();
        if (state_.kept_pins.apply(from, envelope.incarnation, *batch, now))
        {
            send(from, protocol::pin_ack{batch->sequence}, effects);
        }
    }
    if (const auto* ack = std::get_if<protocol::pin_ack>(&message))
    {
        std::vector<flow_reference> confirmed;
        state_.pins.handle_ack(from, ack->sequence, confirmed);
        for (const flow_reference flow : confirmed)
        {
            lifecycle_.handle_pin_confirmation(flow, now);
        }
    }
    if (const auto* batch = std::get_if<protocol::handover_batch>(&message))
    {
        bool all_accepted = true;
        for (const auto& transfer : batch->flows)
        {
            all_accepted =
                lifecycle_.accept_transfer(transfer, now) && all_accepted;
            state_.owners.extend_former_views(
                std::chrono::milliseconds(transfer.age_ms), now);
        }
        if (all_accepted)
        {
            send(from, protocol::handover_ack{batch->sequence}, effects);
        }
    }
    if (const auto* ack = std::get_if<protocol::handover_ack>(&message))
    {
        std::vector<flow_reference> confirmed;
        state_.transfers.handle_ack(from, ack->sequence, confirmed);
        for (const flow_reference flow : confirmed)
        {
            lifecycle_.complete_transfer(flow, now);
        }
    }
}

void peer_exchange::apply(const protocol::upstream_record& record,
                          time_point now)
{
    if (state_.traffic.apply(record, now) && record.address.port != 0)
    {
        state_.addresses.update(record);
    }
}

void peer_exchange::announce(const protocol::upstream_record& record,
                             time_point now, router_effects& effects)
{
    apply(record, now);
    announced& announcement = announced_[{record.service, record.upstream}];
    const bool changed = announcement.sent_sequence == 0 ||
                         !differ_only_in_sequence(announcement.record, record);
    announcement.record = record;
    if (!changed)
    {
        return;
    }
    announcement.sent = now;
    announcement.sent_sequence = record.sequence;
    for (const instance_id peer : state_.members.reachable())
    {
        send_records({record}, peer, effects);
    }
}

void peer_exchange::tick(time_point now, router_effects& effects)
{
    broadcast_renewals(now, effects);
    broadcast_settled_sets(now, effects);
    send_load(now, effects);
}

void peer_exchange::broadcast_renewals(time_point now, router_effects& effects)
{
    std::vector<protocol::upstream_record> due;
    for (auto& [key, announcement] : announced_)
    {
        const duration wait =
            std::chrono::microseconds(static_cast<std::int64_t>(
                announcement.record.lease_ms * 1000 * renewal_lease_fraction));
        if (announcement.record.sequence != announcement.sent_sequence &&
            now - announcement.sent >= wait)
        {
            due.push_back(announcement.record);
            announcement.sent = now;
            announcement.sent_sequence = announcement.record.sequence;
        }
    }
    std::erase_if(announced_,
                  [&](const auto& entry)
                  {
                      const auto lease = std::chrono::milliseconds(
                          entry.second.record.lease_ms);
                      return now - entry.second.sent > 4 * lease;
                  });
    if (due.empty())
    {
        return;
    }
    for (const instance_id peer : state_.members.reachable())
    {
        send_records(due, peer, effects);
    }
}

void peer_exchange::send_records(
    const std::vector<protocol::upstream_record>& records, instance_id to,
    router_effects& effects) const
{
    for (std::size_t first = 0; first < records.size(); first += max_records)
    {
        const auto end = std::min(records.size(), first + max_records);
        protocol::upstream_batch batch;
        batch.records.assign(
            records.begin() + static_cast<std::ptrdiff_t>(first),
            records.begin() + static_cast<std::ptrdiff_t>(end));
        send(to, std::move(batch), effects);
    }
}

void peer_exchange::broadcast_settled_sets(time_point now,
                                           router_effects& effects)
{
    for (const service_id service : state_.settled.services())
    {
        auto announcement = state_.settled.announcement(service);
        settled_announcement& sent = settled_[service];
        if (sent.version != announcement.version)
        {
            sent.version = announcement.version;
            sent.copies_left = settled_copy_delays.size();
            sent.next = now;
        }
        if (now < sent.next)
        {
            continue;
        }
        const bool repeated = sent.copies_left == 0;
        sent.next =
            now +
            (repeated
                 ? settled_repeat_interval
                 : duration(settled_copy_delays[settled_copy_delays.size() -
                                                sent.copies_left]));
        sent.copies_left -= repeated ? 0 : 1;
        for (const instance_id peer : state_.members.reachable())
        {
            send(peer, announcement, effects);
        }
    }
}

void peer_exchange::send_load(time_point now, router_effects& effects)
{
    const auto peers = state_.members.reachable();
    if (peers.empty())
    {
        return;
    }
    if (now - load_built_at_ >= load_interval)
    {
        load_ = state_.traffic.make_load_report(now);
        load_built_at_ = now;
    }
    // Peers take turns, so that with little budget all reports grow older
    // together.
    for (std::size_t tried = 0; tried < peers.size(); ++tried)
    {
        const instance_id peer = peers[next_peer_ % peers.size()];
        const bool known = load_sent_.contains(peer);
        const duration age =
            known ? now - load_sent_[peer] : max_load_report_interval;
        const bool affordable =
            budget_ >=
            static_cast<double>(last_load_size_) + pin_budget_reserve;
        if (age < load_interval ||
            (!affordable && age < max_load_report_interval))
        {
            return;
        }
        ++next_peer_;
        load_sent_[peer] = now;
        budget_ -= static_cast<double>(last_load_size_);
        send(peer, load_, effects);
    }
}

void peer_exchange::send_state_to(instance_id member, time_point now,
                                  router_effects& effects)
{
    std::vector<protocol::upstream_record> records;
    for (const auto& [key, announcement] : announced_)
    {
        records.push_back(announcement.record);
    }
    (void)now;
    send_records(records, member, effects);
    for (const service_id service : state_.settled.services())
    {
        send(member, state_.settled.announcement(service), effects);
    }
}

void peer_exchange::charge_budget(const router_effects& effects,
                                  std::size_t first, time_point now)
{
    const double rate = state_.settings.control_bytes_per_second;
    const std::chrono::duration<double> passed = now - budget_time_;
    budget_time_ = now;
    budget_ =
        std::min(budget_ + rate * passed.count(), rate * budget_burst_seconds);
    for (std::size_t index = first; index < effects.size(); ++index)
    {
        const auto* sent = std::get_if<send_to_instance>(&effects[index]);
        if (sent == nullptr)
        {
            continue;
        }
        const auto encoded = protocol::encode_entry_message(sent->envelope);
        const std::size_t size = encoded ? encoded->size() : 0;
        state_.counters.control_bytes_sent += size;
        const auto& message = sent->envelope.message;
        if (std::holds_alternative<protocol::load_report>(message))
        {
            last_load_size_ = size;
            continue; // charged when it was sent
        }
        if (!std::holds_alternative<protocol::handover_batch>(message) &&
            !std::holds_alternative<protocol::handover_ack>(message))
        {
            budget_ -= static_cast<double>(size);
        }
    }
}

void peer_exchange::send(instance_id to, protocol::entry_message message,
                         router_effects& effects) const
{
    effects.push_back(
        send_to_instance{to, state_.members.envelope(std::move(message))});
}

} // namespace boragestand::coordination
