#pragma once

#include <utility>

namespace boragestand
{

/// Runs a clean-up action at the end of its scope unless dismissed.
template <typename Action>
class [[nodiscard]] scope_guard
{
public:
    explicit scope_guard(Action action) : action_(std::move(action)) {}
    ~scope_guard()
    {
        if (active_)
        {
            action_();
        }
    }

    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;

    /// Cancels the action.
    void dismiss() { active_ = false; }

private:
    Action action_;
    bool active_{true};
};

} // namespace boragestand
