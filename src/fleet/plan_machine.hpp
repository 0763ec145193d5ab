#pragma once

#include "fleet/fleet_log.hpp"
#include "replica/replica.hpp"

#include <functional>
#include <map>

namespace boragestand::fleet
{

/// Applies submitted plans from the replicated log to the plan register.
class plan_machine final : public replica::state_machine
{
public:
    /// changed is called when another plan is in force.
    plan_machine(fleet_log& log, std::function<void()> changed);

    result<void> apply(const protocol::log_entry& entry) override;
    std::string snapshot() const override;
    result<void> restore(const std::string& data) override;
    void finish_step() override;

    const std::shared_ptr<const state::submitted_plan>& current() const
    {
        return plans_.current();
    }

private:
    fleet_log& log_;
    std::function<void()> changed_;
    state::plan_register plans_;
    std::uint64_t published_{0};
};

} // namespace boragestand::fleet
