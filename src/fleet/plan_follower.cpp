#include "fleet/plan_follower.hpp"

#include "base/metrics_text.hpp"
#include "fleet/fleet_times.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::fleet
{

plan_follower::plan_follower(transport::timer_service& timers, fleet_log& log,
                             hooks callbacks)
    : timers_(timers), log_(log), hooks_(std::move(callbacks))
{
}

void plan_follower::follow(std::uint64_t version)
{
    named_ = std::max(named_, version);
    if (named_ <= copy_.version())
    {
        return;
    }
    if (!behind_since_)
    {
        behind_since_ = timers_.now();
    }
    if (!outstanding_)
    {
        // The caller has yet to decide whether it keeps this control instance.
        request_after(duration(0));
    }
}

void plan_follower::request_after(duration pause)
{
    next_request_ =
        timers_.after(pause, [this](time_point) { request_page(); });
}

void plan_follower::request_page()
{
    auto* const client = hooks_.source(copy_.version());
    if (outstanding_ || client == nullptr)
    {
        return;
    }
    current_transfer();
    outstanding_ = true;
    client->request_plan(
        copy_.make_request(),
        [this, source = client->remote()](
            const result<coordination::plan_page>& page, std::size_t bytes)
        { handle_page(source, page, bytes); });
}

// A whole plan of an earlier program can end a transfer while a page is
// outstanding.
plan_follower::transfer& plan_follower::current_transfer()
{
    if (!transfer_)
    {
        transfer_ = transfer{timers_.now(), 0, 0, duration(0)};
    }
    return *transfer_;
}

void plan_follower::handle_page(const transport::endpoint& source,
                                const result<coordination::plan_page>& page,
                                std::size_t bytes)
{
    outstanding_ = false;
    bytes_ += bytes;
    auto& current = current_transfer();
    current.bytes += bytes;
    if (!page)
    {
        handle_failure(page.error(), source);
        return;
    }
    ++pages_;
    ++current.pages;
    const auto arrived = timers_.now();
    const auto update = copy_.apply(*page);
    current.processing += timers_.now() - arrived;
    if (!update)
    {
        handle_failure(update.error(), source);
        return;
    }
    if (*update)
    {
        complete(**update, source);
        return;
    }
    if (page->version > copy_.version())
    {
        request_after(duration(0));
    }
}

// What has arrived is kept; another control instance may be the source then.
void plan_follower::handle_failure(const error& cause,
                                   const transport::endpoint& source)
{
    const bool replaced = cause.kind == error_kind::cancelled;
    if (!replaced)
    {
        ++failures_;
        const auto& current = current_transfer();
        log_.plan_interrupted(named_, current.bytes, current.pages,
                              cause.message, source, timers_.now());
    }
    request_after(replaced ? duration(0) : plan_retry);
}

void plan_follower::complete(const coordination::plan_update& update,
                             const transport::endpoint& source)
{
    const auto now = timers_.now();
    const auto done = std::exchange(transfer_, std::nullopt)
                          .value_or(transfer{now, 0, 0, {}});
    behind_since_.reset();
    hooks_.completed(update, source);
    log_.plan_received({update.version, done.bytes, done.pages,
                        now - done.started,
                        done.processing + timers_.now() - now},
                       source);
    follow(named_);
}

void plan_follower::replace(const state::routing_plan& plan,
                            const transport::endpoint& source)
{
    if (const auto update = copy_.replace(plan))
    {
        complete(*update, source);
    }
}

void plan_follower::append_metrics(std::string& text, time_point now) const
{
    const auto behind = behind_since_ ? now - *behind_since_ : duration(0);
    append_gauge(
        text, "boragestand_plan_behind_milliseconds",
        "Time since a control instance first named a newer plan than the one "
        "in force; 0 if none has",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(behind)
                .count()));
    append_gauge(text, "boragestand_plan_routes", "Routes of the plan in force",
                 copy_.size());
    append_counter(text, "boragestand_plan_pages_total",
                   "Pages of plans that arrived", pages_);
    append_counter(text, "boragestand_plan_bytes_total", "Bytes of these pages",
                   bytes_);
    append_counter(text, "boragestand_plan_page_failures_total",
                   "Requests for a page that failed", failures_);
}

} // namespace boragestand::fleet
