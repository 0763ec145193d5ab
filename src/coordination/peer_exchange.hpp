#pragma once

#include "coordination/flow_lifecycle.hpp"

#include <map>

namespace boragestand::coordination
{

/// Messages between this router and its peers other than those of membership:
/// announced upstreams, loads, settled sets, pins and transferred flows.
class peer_exchange
{
public:
    peer_exchange(router_state& state, flow_lifecycle& lifecycle);

    /// Handles a message that membership has accepted.
    void receive(const protocol::entry_envelope& envelope, time_point now,
                 router_effects& effects);

    /// Applies an announcement that an upstream made to this instance, and
    /// broadcasts it to the peers.
    void announce(const protocol::upstream_record& record, time_point now,
                  router_effects& effects);

    /// Sends what is due.
    void tick(time_point now, router_effects& effects);

    /// Sends a new member the announced upstreams and the settled sets.
    void send_state_to(instance_id member, time_point now,
                       router_effects& effects);

    /// Whether control messages that can wait may be sent now.
    bool has_budget() const { return budget_ > 0; }

    /// Charges the messages among the effects from this position on to the
    /// budget.
    void charge_budget(const router_effects& effects, std::size_t first,
                       time_point now);

private:
    struct announced
    {
        protocol::upstream_record record;
        std::uint64_t sent_sequence{0};
        time_point sent;
    };

    struct settled_announcement
    {
        std::uint32_t version{0};
        unsigned copies_left{0};
        time_point next;
    };

    void apply(const protocol::upstream_record& record, time_point now);
    void send(instance_id to, protocol::entry_message message,
              router_effects& effects) const;
    void send_records(const std::vector<protocol::upstream_record>& records,
                      instance_id to, router_effects& effects) const;
    void broadcast_renewals(time_point now, router_effects& effects);
    void broadcast_settled_sets(time_point now, router_effects& effects);
    void send_load(time_point now, router_effects& effects);

    router_state& state_;
    flow_lifecycle& lifecycle_;
    std::map<std::pair<service_id, upstream_id>, announced> announced_;
    std::map<service_id, settled_announcement> settled_;
    std::map<instance_id, time_point> load_sent_;
    protocol::load_report load_;
    time_point load_built_at_{};
    std::size_t next_peer_{0};
    std::size_t last_load_size_{64};
    double budget_{0}; ///< bytes that may be sent; below 0 after a burst
    time_point budget_time_{};
};

} // namespace boragestand::coordination
