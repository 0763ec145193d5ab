#include "coordination/pin_sender.hpp"

#include <algorithm>

namespace boragestand::coordination
{

using state::flow_record;
using state::flow_state;

namespace
{

/// Encoded sizes in bytes, rounded up, with which the budget is charged.
constexpr double pin_bytes = 20;
constexpr double removal_bytes = 9;
/// Keeps a batch below max_entry_message_size.
constexpr std::size_t max_pins = 40;
constexpr std::size_t max_removals = 40;
/// Pins of one backup are collected for this long, so that the 50 bytes of a
/// batch and its confirmation are shared.
constexpr duration collect_time = std::chrono::milliseconds(200);
constexpr duration first_retransmit_delay = std::chrono::milliseconds(200);
constexpr unsigned max_doublings = 3;
constexpr std::size_t max_unconfirmed = 64;

bool wants_pin(const flow_record& record)
{
    switch (record.state)
    {
    case flow_state::awaiting_pin:
        return true;
    case flow_state::opening:
    case flow_state::established:
    case flow_state::closing:
        return record.is_exception && !record.end_reported;
    default:
        return false;
    }
}

} // namespace

pin_sender::pin_sender(const router_settings& settings,
                       state::flow_table& flows,
                       const upstream_addresses& addresses,
                       const ownership& owners)
    : settings_(settings)
    , flows_(flows)
    , addresses_(addresses)
    , owners_(owners)
    , member_numbers_(settings.members)
    , budget_(settings.pin_bytes_per_second, settings.pin_bytes_per_second)
{
}

void pin_sender::schedule(flow_reference flow, time_point opened)
{
    if (!settings_.faults.no_pins)
    {
        aging_.push_back({flow, opened + settings_.pin_age});
    }
}

void pin_sender::queue(flow_reference flow)
{
    flow_record& record = flows_[flow.slot];
    if (record.pin_queued || settings_.faults.no_pins)
    {
        return;
    }
    record.pin_queued = true;
    queued_.push_back(flow);
}

void pin_sender::queue_urgent(flow_reference flow)
{
    urgent_.push_back(flow);
}

pin_sender::backup_numbers pin_sender::wanted_backups(std::uint64_t hash) const
{
    backup_numbers wanted{};
    const std::size_t limit =
        settings_.faults.no_second_backup ? 1 : settings_.backups;
    std::size_t found = 0;
    for (const instance_id id : owners_.rank(hash))
    {
        if (id.value != 0 && id != settings_.self && found < limit &&
            found < wanted.size())
        {
            wanted[found] = member_numbers_.number_of(id);
            ++found;
        }
    }
    return wanted;
}

bool pin_sender::has_outdated_backups(const flow_record& record) const
{
    if (!wants_pin(record) || record.pin_queued ||
        settings_.faults.no_repinning)
    {
        return false;
    }
    auto wanted = wanted_backups(record.hash);
    auto used = record.backups;
    std::sort(wanted.begin(), wanted.end());
    std::sort(used.begin(), used.end());
    return wanted != used;
}

void pin_sender::remove_pins(flow_record& record)
{
    const std::array<bool, 2> acked{record.first_acked, record.second_acked};
    for (std::size_t index = 0; index < acked.size(); ++index)
    {
        // An unconfirmed pin is removed when its confirmation arrives.
        if (record.backups[index] != 0 && acked[index])
        {
            channels_[record.backups[index]].removals.push_back(record.hash);
        }
    }
    record.backups = {};
    record.first_acked = false;
    record.second_acked = false;
}

void pin_sender::handle_member_death(instance_id id)
{
    const std::uint8_t number = member_numbers_.number_of(id);
    const auto found = channels_.find(number);
    if (found == channels_.end())
    {
        return;
    }
    auto& channel = found->second;
    channel.removals.clear();
    channel.unconfirmed.clear();
    channel.collected = {};
    channel.collected_flows.clear();
}

bool pin_sender::pin(flow_reference flow, bool urgent, time_point now)
{
    flow_record& record = flows_[flow.slot];
    const backup_numbers wanted = wanted_backups(flow.hash);
    const auto is_current_backup = [&](std::uint8_t number)
    {
        return number != 0 &&
               std::find(record.backups.begin(), record.backups.end(),
                         number) != record.backups.end();
    };
    const auto missing =
        std::count_if(wanted.begin(), wanted.end(),
                      [&](std::uint8_t number)
                      { return number != 0 && !is_current_backup(number); });
    const double cost = pin_bytes * static_cast<double>(missing);
    if (!budget_.take(cost, now) && !urgent)
    {
        return false;
    }
    const auto old = record.backups;
    const std::array<bool, 2> old_acked{record.first_acked,
                                        record.second_acked};
    std::array<bool, 2> acked{};
    for (std::size_t index = 0; index < old.size(); ++index)
    {
        const auto still = std::find(wanted.begin(), wanted.end(), old[index]);
        if (old[index] == 0)
        {
            continue;
        }
        if (still == wanted.end() && old_acked[index])
        {
            channels_[old[index]].removals.push_back(flow.hash);
        }
        if (still != wanted.end())
        {
            acked[static_cast<std::size_t>(still - wanted.begin())] =
                old_acked[index];
        }
    }
    for (const std::uint8_t number : wanted)
    {
        if (number != 0 && !is_current_backup(number))
        {
            add_pin(number, flow, urgent);
        }
    }
    record.backups = wanted;
    record.first_acked = acked[0];
    record.second_acked = acked[1];
    return true;
}

void pin_sender::add_pin(std::uint8_t backup, flow_reference flow, bool urgent)
{
    backup_channel& channel = channels_[backup];
    const auto& upstream = addresses_[flows_[flow.slot].upstream];
    channel.collected.added.push_back(
        {flow.hash, upstream.service, upstream.upstream});
    channel.collected_flows.push_back(flow);
    channel.urgent = channel.urgent || urgent;
    ++pins_sent_;
}

void pin_sender::send_urgent(time_point now)
{
    for (; !urgent_.empty(); urgent_.pop_front())
    {
        const flow_reference flow = urgent_.front();
        if (flows_.holds(flow.slot, flow.hash) && wants_pin(flows_[flow.slot]))
        {
            pin(flow, true, now);
        }
    }
}

void pin_sender::update_backlog(time_point now)
{
    const auto first_later = std::partition_point(aging_.begin(), aging_.end(),
                                                  [now](const aging_flow& flow)
                                                  { return flow.due <= now; });
    const auto due = static_cast<std::size_t>(first_later - aging_.begin());
    backlog_bytes_ = (due + queued_.size()) *
                     static_cast<std::size_t>(pin_bytes * settings_.backups);
}

void pin_sender::send_queued(time_point now)
{
    // Flows without a pin are sent before those whose pins have to move.
    for (; !aging_.empty() && aging_.front().due <= now; aging_.pop_front())
    {
        const flow_reference flow = aging_.front().flow;
        const bool due = flows_.holds(flow.slot, flow.hash) &&
                         wants_pin(flows_[flow.slot]) &&
                         flows_[flow.slot].backups[0] == 0;
        if (due && !pin(flow, false, now))
        {
            return;
        }
    }
    for (; !queued_.empty(); queued_.pop_front())
    {
        const flow_reference flow = queued_.front();
        if (!flows_.holds(flow.slot, flow.hash))
        {
            continue;
        }
        if (wants_pin(flows_[flow.slot]) && !pin(flow, false, now))
        {
            return;
        }
        flows_[flow.slot].pin_queued = false;
    }
}

void pin_sender::tick(const membership& members, bool has_budget,
                      time_point now, router_effects& effects)
{
    send_urgent(now);
    if (has_budget)
    {
        send_queued(now);
    }
    update_backlog(now);
    for (auto& [backup, channel] : channels_)
    {
        if (has_budget)
        {
            add_removals(channel, now);
        }
        flush(backup, channel, members, now, effects);
        retransmit(backup, channel, members, now, effects);
    }
}

void pin_sender::add_removals(backup_channel& channel, time_point now)
{
    while (!channel.removals.empty() &&
           channel.collected.removed.size() < max_removals &&
           budget_.take(removal_bytes, now))
    {
        channel.collected.removed.push_back(channel.removals.front());
        channel.removals.pop_front();
    }
}

void pin_sender::flush(std::uint8_t backup, backup_channel& channel,
                       const membership& members, time_point now,
                       router_effects& effects)
{
    const bool empty =
        channel.collected.added.empty() && channel.collected.removed.empty();
    const bool full = channel.collected.added.size() >= max_pins / 2;
    const bool due =
        channel.urgent || full || now - channel.last_sent >= collect_time;
    if (empty || !due || channel.unconfirmed.size() >= max_unconfirmed)
    {
        return;
    }
    channel.last_sent = now;
    channel.urgent = false;
    auto& added = channel.collected.added;
    while (!added.empty() || !channel.collected.removed.empty())
    {
        sent_batch next;
        const auto count =
            static_cast<std::ptrdiff_t>(std::min(max_pins, added.size()));
        next.batch.sequence = ++channel.sequence;
        next.batch.added.assign(added.begin(), added.begin() + count);
        next.batch.removed = std::move(channel.collected.removed);
        next.flows.assign(channel.collected_flows.begin(),
                          channel.collected_flows.begin() + count);
        next.sent = now;
        added.erase(added.begin(), added.begin() + count);
        channel.collected_flows.erase(channel.collected_flows.begin(),
                                      channel.collected_flows.begin() + count);
        channel.collected.removed.clear();
        effects.push_back(send_to_instance{member_numbers_.id_of(backup),
                                           members.envelope(next.batch)});
        channel.unconfirmed.emplace(next.batch.sequence, std::move(next));
    }
}

void pin_sender::retransmit(std::uint8_t backup, backup_channel& channel,
                            const membership& members, time_point now,
                            router_effects& effects) const
{
    for (auto& [sequence, sent] : channel.unconfirmed)
    {
        const auto wait = first_retransmit_delay * (1U << sent.retransmits);
        if (now - sent.sent < wait)
        {
            continue;
        }
        sent.sent = now;
        sent.retransmits = std::min(sent.retransmits + 1, max_doublings);
        effects.push_back(send_to_instance{member_numbers_.id_of(backup),
                                           members.envelope(sent.batch)});
    }
}

void pin_sender::handle_ack(instance_id from, std::uint32_t sequence,
                            std::vector<flow_reference>& confirmed)
{
    const std::uint8_t number = member_numbers_.number_of(from);
    const auto channel = channels_.find(number);
    if (channel == channels_.end())
    {
        return;
    }
    const auto found = channel->second.unconfirmed.find(sequence);
    if (found == channel->second.unconfirmed.end())
    {
        return;
    }
    for (const flow_reference flow : found->second.flows)
    {
        const bool held = flows_.holds(flow.slot, flow.hash);
        flow_record* record = held ? &flows_[flow.slot] : nullptr;
        if (held && record->backups[0] == number)
        {
            record->first_acked = true;
            if (record->state == flow_state::awaiting_pin)
            {
                confirmed.push_back(flow);
            }
        }
        else if (held && record->backups[1] == number)
        {
            record->second_acked = true;
        }
        else
        {
            channel->second.removals.push_back(flow.hash);
        }
    }
    channel->second.unconfirmed.erase(found);
}

} // namespace boragestand::coordination
