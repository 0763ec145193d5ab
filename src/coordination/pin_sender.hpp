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

/// Copies the exceptions among the own flows to their backups within a budget
/// of bytes, and takes the copies back when flows end.
class pin_sender
{
public:
    pin_sender(const router_settings& settings, state::flow_table& flows,
               const upstream_addresses& addresses, const ownership& owners);

    /// A flow became an exception; it is pinned when it reaches the pin age.
    void schedule(flow_reference flow, time_point opened);

    /// A flow that is to be pinned within the budget without waiting for its
    /// age: adopted, or its backups have changed.
    void queue(flow_reference flow);

    /// A flow whose first packet waits for the pin; goes beyond the budget.
    void queue_urgent(flow_reference flow);

    /// Whether another instance can keep pins of this flow.
    bool has_backup(std::uint64_t hash) const
    {
        return wanted_backups(hash)[0] != 0;
    }

    /// Whether the pins of an exception are not where they should be.
    bool has_outdated_backups(const state::flow_record& record) const;

    /// Takes the pins of a flow back that ends or is no exception any more.
    void remove_pins(state::flow_record& record);

    /// Drops what was meant for a dead member.
    void handle_member_death(instance_id id);

    /// Sends what is due and repeats what was not confirmed. Without budget for
    /// control messages only pins that a packet waits for are sent.
    void tick(const membership& members, bool has_budget, time_point now,
              router_effects& effects);

    /// Takes a confirmation. Appends flows that waited for it.
    void handle_ack(instance_id from, std::uint32_t sequence,
                    std::vector<flow_reference>& confirmed);

    /// Bytes of pins that are due and could not be sent for lack of budget.
    std::size_t backlog_bytes() const { return backlog_bytes_; }

    /// Pins sent, without repetitions.
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
