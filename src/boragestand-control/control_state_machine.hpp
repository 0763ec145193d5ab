#pragma once

#include "control_log.hpp"
#include "replica/replica.hpp"

#include <functional>
#include <map>

namespace boragestand::control
{

/// Applies the commands of the replicated log to the control state.
class control_state_machine final : public replica::state_machine
{
public:
    /// configuration_changed is called when the configuration has a new
    /// revision.
    control_state_machine(control_log& log,
                          std::function<void()> configuration_changed);

    result<void> apply(const protocol::log_entry& entry) override;
    std::string snapshot() const override;
    result<void> restore(const std::string& data) override;
    void finish_step() override;

    const state::control_state& state() const { return state_; }

    /// Outcome of the command at this index; valid only within the step that
    /// applied it.
    const state::command_outcome& outcome_at(std::uint64_t index) const
    {
        return outcomes_.at(index);
    }

private:
    control_log& log_;
    std::function<void()> configuration_changed_;
    state::control_state state_;
    std::map<std::uint64_t, state::command_outcome> outcomes_;
    std::uint64_t published_revision_{0};
};

} // namespace boragestand::control
