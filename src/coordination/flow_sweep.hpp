#pragma once

#include "coordination/flow_lifecycle.hpp"

namespace boragestand::coordination
{

/// Scans a part of the flow table with each tick: removes ended and idle flows,
/// offers flows to new owners, moves pins to new backups and moves services to
/// new settled sets.
class flow_sweep
{
public:
    flow_sweep(router_state& state, flow_lifecycle& lifecycle)
        : state_(state), lifecycle_(lifecycle)
    {
    }

    /// Scans the next part.
    void tick(time_point now);

    /// Starts to pin all exceptions again, for when the backups may have
    /// discarded their pins.
    void repin_all();

private:
    /// Removes the flow if it is over. Returns whether it did.
    bool remove_if_ended(state::flow_slot slot, time_point now);
    void check_flow(state::flow_slot slot, time_point now);
    void check_pins(state::flow_slot slot, time_point now);
    void check_owner(state::flow_slot slot, time_point now);
    void advance_settled_sets(time_point now);
    void count_flows(time_point now);
    void pin_new_exceptions(time_point now);
    std::size_t slots_per_tick() const;

    router_state& state_;
    flow_lifecycle& lifecycle_;
    state::flow_slot cursor_{0};
    std::size_t slots_to_repin_{0};

    /// The service whose settled set is being moved, if any.
    std::optional<service_id> moving_service_;
    settled_sets::task move_task_{settled_sets::task::none};
    state::flow_slot move_cursor_{0};
    std::size_t unconfirmed_pins_{0}; ///< in this pass over the table
    time_point next_settle_{};
};

} // namespace boragestand::coordination
