#pragma once

#include "fleet/fleet_log.hpp"
#include "replica/replica.hpp"

#include <functional>
#include <map>

namespace boragestand::fleet
{

/// Applies plans and evacuation orders from the replicated log to their
/// registers.
class plan_machine final : public replica::state_machine
{
public:
    /// changed is called when another plan or evacuation is in force.
    plan_machine(fleet_log& log, std::function<void()> changed);

    result<void> apply(const protocol::log_entry& entry) override;
    std::string snapshot() const override;
    result<void> restore(const std::string& data) override;
    void finish_step() override;

    const std::shared_ptr<const state::submitted_plan>& current() const
    {
        return plans_.current();
    }

    const state::evacuation_register& evacuations() const
    {
        return evacuations_;
    }

private:
    void apply(state::submitted_plan plan, std::uint64_t index);
    void apply(const state::evacuation_order& order, std::uint64_t index);

    fleet_log& log_;
    std::function<void()> changed_;
    state::plan_register plans_;
    state::evacuation_register evacuations_;
    std::uint64_t published_plan_{0};       ///< version
    std::uint64_t published_evacuation_{0}; ///< log index
};

} // namespace boragestand::fleet
