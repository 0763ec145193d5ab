#pragma once

#include "coordination/flow_events.hpp"
#include "coordination/member_numbers.hpp"
#include "coordination/membership.hpp"
#include "coordination/ownership.hpp"
#include "coordination/router_settings.hpp"
#include "coordination/upstream_addresses.hpp"

#include <array>
#include <deque>
#include <map>
#include <vector>

namespace boragestand::coordination
{

/// A flow in the table, checked by its hash when it is used later.
struct flow_reference
{
    state::flow_slot slot{state::no_flow};
    std::uint64_t hash{0};

    auto operator<=>(const flow_reference&) const = default;
};

/// Copies the exceptions among the flows of this instance to their backups
/// within a budget of bytes, and removes the copies when flows end. A pin is
/// such a copy: the flow's hash, its service and its upstream. An exception is
/// a flow that is not at the default that its settled set gives, or a UDP flow
/// whose service is not idempotent.
class pin_sender
{
public:
    pin_sender(const router_settings& settings, state::flow_table& flows,
               const upstream_addresses& addresses, const ownership& owners);

    /// Schedules a flow that became an exception to be pinned at the pin age.
    void schedule(flow_reference flow, time_point opened);

    /// Queues a flow to be pinned within the budget without waiting for its
    /// age, since it was adopted or its backups have changed.
    void queue(flow_reference flow);

    /// Queues a flow whose first packet waits for the pin. It is pinned even if
    /// the budget is used up.
    void queue_urgent(flow_reference flow);

    /// Whether another instance can keep pins of this flow.
    bool has_backup(std::uint64_t hash) const
    {
        return wanted_backups(hash)[0] != 0;
    }

    /// Whether an exception is pinned at other instances than its present
    /// backups.
    bool has_outdated_backups(const state::flow_record& record) const;

    /// Removes the pins of a flow that ends or is no longer an exception.
    void remove_pins(state::flow_record& record);

    /// Discards all messages queued for a dead member.
    void handle_member_death(instance_id id);

    /// Sends what is due and retransmits unconfirmed batches. Without budget
    /// for control messages, sends only pins that a packet waits for.
    void tick(const membership& members, bool has_budget, time_point now,
              router_effects& effects);

    /// Handles the confirmation of a batch. Appends the flows that waited for
    /// it.
    void handle_ack(instance_id from, std::uint32_t sequence,
                    std::vector<flow_reference>& confirmed);

    /// Bytes of pins that are due and could not be sent for lack of budget.
    std::size_t backlog_bytes() const { return backlog_bytes_; }

    /// Pins sent, without retransmissions.
    std::uint64_t pins_sent() const { return pins_sent_; }

private:
    struct aging_flow
    {
        flow_reference flow;
        time_point due;
    };

    struct sent_batch
    {
        protocol::pin_batch batch;
        std::vector<flow_reference> flows;
        time_point sent;
        unsigned retransmits{0};
    };

    struct backup_channel
    {
        protocol::pin_batch collected;
        std::vector<flow_reference> collected_flows;
        std::deque<std::uint64_t> removals;
        std::map<std::uint32_t, sent_batch> unconfirmed;
        std::uint32_t sequence{0};
        time_point last_sent{};
        bool urgent{false};
    };

    using backup_numbers = std::array<std::uint8_t, 2>;

    backup_numbers wanted_backups(std::uint64_t hash) const;
    bool pin(flow_reference flow, bool urgent, time_point now);
    void send_urgent(time_point now);
    void send_queued(time_point now);
    void update_backlog(time_point now);
    void add_pin(std::uint8_t backup, flow_reference flow, bool urgent);
    void add_removals(backup_channel& channel, time_point now);
    void flush(std::uint8_t backup, backup_channel& channel,
               const membership& members, time_point now,
               router_effects& effects);
    void retransmit(std::uint8_t backup, backup_channel& channel,
                    const membership& members, time_point now,
                    router_effects& effects) const;

    const router_settings& settings_;
    state::flow_table& flows_;
    const upstream_addresses& addresses_;
    const ownership& owners_;
    member_numbers member_numbers_;
    token_bucket budget_;
    std::deque<flow_reference> urgent_;
    std::deque<aging_flow> aging_;
    std::deque<flow_reference> queued_;
    std::map<std::uint8_t, backup_channel> channels_;
    std::size_t backlog_bytes_{0};
    std::uint64_t pins_sent_{0};
};

} // namespace boragestand::coordination
