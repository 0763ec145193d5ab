#include "fleet/directory_subscription.hpp"

#include "fleet/fleet_times.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::fleet
{

namespace
{

// The first reply arrives at once and the second after directory_wait, unless
// the control instance regains contact with its group earlier.
constexpr std::size_t stale_reply_limit = 1;

// Each control instance first sends all its records, which occupies the link of
// a small instance for a tenth of a second.
constexpr std::size_t max_candidates = 2;

} // namespace

directory_subscription::directory_subscription(
    transport::main_loop& loop, transport::timer_service& timers,
    std::vector<transport::endpoint> seeds, std::size_t first, fleet_log& log,
    hooks callbacks)
    : loop_(loop)
    , timers_(timers)
    , seeds_(std::move(seeds))
    , controls_(seeds_)
    , position_(first % controls_.size())
    , log_(log)
    , hooks_(std::move(callbacks))
    , source_(controls_[position_])
{
}

bool directory_subscription::is_candidate(
    const transport::endpoint& control) const
{
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [&control](const candidate& each)
                       { return each.control == control; });
}

std::optional<transport::endpoint> directory_subscription::take_next_control()
{
    for (std::size_t step = 0; step < controls_.size(); ++step)
    {
        const auto control = controls_[position_ % controls_.size()];
        position_ = (position_ + 1) % controls_.size();
        if (!is_candidate(control))
        {
            return control;
        }
    }
    return std::nullopt;
}

bool directory_subscription::may_add_candidate() const
{
    return !in_contact_ && candidates_.size() < max_candidates;
}

// The short timeout applies to the first round only, so that distant instances
// of a larger network can connect later.
duration directory_subscription::connect_timeout() const
{
    const bool first_round = failures_ < controls_.size();
    return first_round ? first_connect_timeout
                       : transport::default_connect_timeout;
}

void directory_subscription::try_next(std::string_view reason)
{
    stopped_clients_.clear();
    if (!may_add_candidate())
    {
        return;
    }
    const auto control = take_next_control();
    if (!control)
    {
        return;
    }
    log_.source_changed(*control, reason, timers_.now());
    if (candidates_.empty())
    {
        source_ = *control;
    }
    auto client = std::make_unique<directory_client>(
        loop_, timers_, *control,
        directory_client::hooks{
            hooks_.request,
            [this, from = *control](const directory_update& update)
            { handle_reply(from, update); },
            [this, from = *control](const error& cause)
            {
                handle_failure(from, cause.message);
                return false;
            }},
        connect_timeout());
    candidates_.push_back({*control, std::move(client)});
    candidates_.back().client->start();
    try_next_after(candidate_delay, "no current reply yet");
}

void directory_subscription::try_next_after(duration pause,
                                            std::string_view reason)
{
    next_ = timers_.after(pause, [this, text = std::string(reason)](time_point)
                          { try_next(text); });
}

void directory_subscription::stop_client(const transport::endpoint& control)
{
    const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                    [&control](const candidate& each)
                                    { return each.control == control; });
    if (found == candidates_.end())
    {
        return;
    }
    found->client->stop();
    stopped_clients_.push_back(std::move(found->client));
    candidates_.erase(found);
}

void directory_subscription::report_contact_lost(std::string_view reason)
{
    if (in_contact_)
    {
        in_contact_ = false;
        log_.contact_changed("control", source_, false, reason);
    }
}

// Once every instance has failed in a row, the next round starts after a pause.
void directory_subscription::handle_failure(const transport::endpoint& control,
                                            std::string_view reason)
{
    ++failures_;
    report_contact_lost(reason);
    stop_client(control);
    const bool whole_round = failures_ % controls_.size() == 0;
    if (whole_round)
    {
        add_seeds();
    }
    try_next_after(whole_round ? directory_retry : duration(0), reason);
}

// All known control instances may have been replaced.
void directory_subscription::add_seeds()
{
    for (const auto& seed : seeds_)
    {
        if (std::find(controls_.begin(), controls_.end(), seed) ==
            controls_.end())
        {
            controls_.push_back(seed);
        }
    }
}

void directory_subscription::set_seeds(std::vector<transport::endpoint> seeds)
{
    seeds_ = std::move(seeds);
    if (!in_contact_)
    {
        add_seeds();
    }
}

directory_client*
directory_subscription::plan_source(std::uint64_t version) const
{
    directory_client* best = nullptr;
    for (const auto& each : candidates_)
    {
        const auto named = each.client->named_plan();
        if (in_contact_ && each.control == source_)
        {
            return named > version ? each.client.get() : nullptr;
        }
        if (named > version && (best == nullptr || named > best->named_plan()))
        {
            best = each.client.get();
        }
    }
    return best;
}

void directory_subscription::handle_reply(const transport::endpoint& control,
                                          const directory_update& update)
{
    last_reply_ = timers_.now();
    hooks_.replied(update, control);
    update_controls(update.reply.controls);
    if (update.reply.current)
    {
        handle_current_reply(control);
        return;
    }
    handle_stale_reply(control);
}

void directory_subscription::handle_stale_reply(
    const transport::endpoint& control)
{
    for (auto& each : candidates_)
    {
        if (each.control != control ||
            ++each.stale_replies <= stale_reply_limit)
        {
            continue;
        }
        constexpr auto reason = "not in contact with its group";
        report_contact_lost(reason);
        if (controls_.size() > candidates_.size())
        {
            stop_client(control);
        }
        try_next_after(duration(0), reason);
        return;
    }
}

void directory_subscription::handle_current_reply(
    const transport::endpoint& control)
{
    last_current_ = timers_.now();
    failures_ = 0;
    if (!in_contact_)
    {
        in_contact_ = true;
        source_ = control;
        log_.contact_changed("control", control, true, "current");
    }
    for (auto& each : std::exchange(candidates_, {}))
    {
        if (each.control == control)
        {
            each.stale_replies = 0;
            candidates_.push_back(std::move(each));
            continue;
        }
        each.client->stop();
        stopped_clients_.push_back(std::move(each.client));
    }
    if (!stopped_clients_.empty())
    {
        next_ = timers_.after(duration(0),
                              [this](time_point) { stopped_clients_.clear(); });
    }
}

void directory_subscription::update_controls(
    const std::vector<transport::endpoint>& controls)
{
    if (controls.empty() || controls == controls_)
    {
        return;
    }
    controls_ = controls;
    const auto found = std::find(controls_.begin(), controls_.end(), source_);
    const auto index = static_cast<std::size_t>(found - controls_.begin());
    position_ = (index + 1) % controls_.size();
}

} // namespace boragestand::fleet
