#include "fleet/directory_subscription.hpp"

#include "fleet/fleet_times.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::fleet
{

namespace
{

// The first reply comes at once and the second after directory_wait, unless the
// control instance gets in contact with its group before.
constexpr std::size_t stale_reply_limit = 1;

} // namespace

directory_subscription::directory_subscription(
    transport::main_loop& loop, transport::timer_service& timers,
    std::vector<transport::endpoint> controls, std::size_t first,
    fleet_log& log, hooks callbacks)
    : loop_(loop)
    , timers_(timers)
    , controls_(std::move(controls))
    , position_(first % controls_.size())
    , log_(log)
    , hooks_(std::move(callbacks))
{
}

void directory_subscription::connect(std::string_view reason)
{
    switch_.cancel();
    log_.source_changed(source(), reason, timers_.now());
    client_ = std::make_unique<directory_client>(
        loop_, timers_, source(),
        directory_client::hooks{
            hooks_.request,
            [this](const coordination::directory_reply& reply, bool whole)
            { take(reply, whole); },
            [this](const error& cause)
            {
                move_on(cause.message);
                return false;
            }});
    client_->start();
}

// Once every instance has failed in a row, the next round starts after a pause.
void directory_subscription::move_on(std::string_view reason)
{
    ++failures_;
    stale_replies_ = 0;
    if (in_contact_)
    {
        in_contact_ = false;
        log_.contact_changed("control", source(), false, reason);
    }
    position_ = (position_ + 1) % controls_.size();
    const bool whole_round = failures_ % controls_.size() == 0;
    const auto pause = whole_round ? directory_retry : duration(0);
    switch_ = timers_.after(pause, [this, text = std::string(reason)](
                                       time_point) { connect(text); });
}

void directory_subscription::take(const coordination::directory_reply& reply,
                                  bool whole)
{
    const auto from = source();
    last_reply_ = timers_.now();
    hooks_.replied(reply, whole, from);
    take_controls(reply.controls);
    if (!reply.current)
    {
        ++stale_replies_;
        if (controls_.size() > 1 && stale_replies_ > stale_reply_limit)
        {
            move_on("not in contact with its group");
        }
        return;
    }
    stale_replies_ = 0;
    last_current_ = timers_.now();
    failures_ = 0;
    if (!in_contact_)
    {
        in_contact_ = true;
        log_.contact_changed("control", from, true, "current");
    }
}

// The instance that is asked now stays in the list: it has just answered.
void directory_subscription::take_controls(
    const std::vector<transport::endpoint>& controls)
{
    auto next = controls;
    if (next.empty() || next == controls_)
    {
        return;
    }
    const auto current = source();
    controls_ = std::move(next);
    const auto found = std::find(controls_.begin(), controls_.end(), current);
    if (found == controls_.end())
    {
        controls_.push_back(current);
        position_ = controls_.size() - 1;
        return;
    }
    position_ = static_cast<std::size_t>(found - controls_.begin());
}

} // namespace boragestand::fleet
