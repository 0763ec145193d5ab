#include "fleet/directory_server.hpp"

#include "fleet/directory_paths.hpp"
#include "fleet/fleet_times.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::fleet
{

using coordination::directory_reply;
using coordination::directory_request;

directory_server::directory_server(
    const coordination::upstream_registry& registry,
    transport::timer_service& timers, std::uint64_t epoch,
    std::function<view()> make_view)
    : registry_(registry)
    , timers_(timers)
    , epoch_(epoch)
    , make_view_(std::move(make_view))
    , load_(epoch)
{
}

result<void> directory_server::handle(const transport::http_request& request,
                                      const exchange& answer)
{
    if (request.method == "POST" && request.path == directory_path)
    {
        return handle_directory(request, answer);
    }
    if (request.method == "POST" && request.path == plan_path)
    {
        return handle_plan(request, answer);
    }
    return failure(error_kind::not_found,
                   request.method + " " + request.path + ": no such request");
}

directory_server::view directory_server::current_view()
{
    auto now = make_view_();
    plans_.publish(now.plan);
    return now;
}

result<void>
directory_server::handle_plan(const transport::http_request& request,
                              const exchange& answer)
{
    const auto wanted = coordination::decode_plan_request(request.body);
    if (!wanted)
    {
        return tl::unexpected(wanted.error());
    }
    answer->respond(
        {.status = 200, .headers = {}, .body = plans_.answer(*wanted)});
    return {};
}

result<void>
directory_server::handle_directory(const transport::http_request& request,
                                   const exchange& answer)
{
    const auto wanted = coordination::decode_directory_request(request.body);
    if (!wanted)
    {
        return tl::unexpected(wanted.error());
    }
    record_sender(*wanted);
    take_load(*wanted);
    const auto delivery = request.headers.find(plan_delivery_header);
    const bool includes_plan =
        !wanted->from_replica && (delivery == request.headers.end() ||
                                  delivery->second != separate_plan);
    const auto now = current_view();
    if (has_changes(*wanted, now))
    {
        reply(*wanted, includes_plan, answer, now);
        return {};
    }
    const auto id = next_waiting_++;
    waiting_.emplace(
        id, waiting_request{*wanted, includes_plan, answer,
                            timers_.after(directory_wait, [this, id](time_point)
                                          { answer_timed_out(id); })});
    return {};
}

void directory_server::take_load(const directory_request& request)
{
    if (request.load.empty())
    {
        return;
    }
    const auto now = timers_.now();
    const auto taken =
        request.from_replica
            ? load_.take_control_sum(request.sender, request.load, now)
            : load_.take_entry_report(request.sender, request.load, now);
    if (!taken && bad_load_callback_)
    {
        bad_load_callback_(taken.error(), request.sender);
    }
}

void directory_server::record_sender(const directory_request& request)
{
    if (!request.from_replica)
    {
        entries_[request.sender] = {timers_.now(), request.evacuation_index};
        return;
    }
    if (request.epoch != epoch_)
    {
        return;
    }
    auto& seen = acknowledged_[request.sender];
    if (request.cursor > seen)
    {
        seen = request.cursor;
        if (acknowledged_callback_)
        {
            acknowledged_callback_();
        }
    }
}

std::uint64_t
directory_server::acknowledged(const transport::endpoint& replica) const
{
    const auto found = acknowledged_.find(replica);
    return found == acknowledged_.end() ? 0 : found->second;
}

bool directory_server::has_changes(const directory_request& request,
                                   const view& now) const
{
    const bool newer_plan =
        !request.from_replica && now.plan->version > request.plan_version;
    const bool newer_evacuation =
        !request.from_replica &&
        coordination::newest_index(now.evacuations) > request.evacuation_index;
    return request.epoch != epoch_ || request.cursor < registry_.cursor() ||
           newer_plan || newer_evacuation ||
           (request.wants_current && now.current);
}

void directory_server::reply(const directory_request& request,
                             bool includes_plan, const exchange& answer,
                             const view& now)
{
    directory_reply message;
    message.epoch = epoch_;
    message.cursor = registry_.cursor();
    message.current = now.current;
    message.plan_version = now.plan->version;
    message.controls = now.controls;
    const bool known = request.epoch == epoch_;
    message.upstreams = registry_.changes_since(
        known ? request.cursor : 0, timers_.now(), directory_page_size);
    if (message.upstreams.size() == directory_page_size)
    {
        message.cursor = registry_.last_change(message.upstreams.back().id);
        message.has_more = message.cursor < registry_.cursor();
    }
    if (!request.from_replica)
    {
        message.evacuations = now.evacuations;
        message.load = load_.make_aggregate(request.sender, timers_.now());
        if (make_grants_)
        {
            message.grants = make_grants_(request.sender);
        }
    }
    if (request.from_replica)
    {
        message.refreshes = take_refreshes(request.sender);
    }
    else if (includes_plan && now.plan->version > request.plan_version)
    {
        message.plan = *now.plan;
    }
    answer->respond({.status = 200,
                     .headers = {},
                     .body = coordination::encode_message(message)});
}

// Each list repeats the time of the one before, whose reply may have been lost:
// an upstream without heartbeats for its lease would be taken for lost.
std::vector<coordination::upstream_refresh>
directory_server::take_refreshes(const transport::endpoint& replica)
{
    const auto now = timers_.now();
    const auto [last, added] = refreshed_.try_emplace(replica, now);
    if (added)
    {
        return registry_.heartbeats_since(now - refresh_interval);
    }
    if (now - last->second < refresh_interval)
    {
        return {};
    }
    const auto since = std::exchange(last->second, now) - refresh_interval;
    return registry_.heartbeats_since(since);
}

std::vector<transport::endpoint> directory_server::recent_entries() const
{
    const auto now = timers_.now();
    std::vector<transport::endpoint> recent;
    for (const auto& [address, entry] : entries_)
    {
        if (now - entry.last_request <= directory_timeout)
        {
            recent.push_back(address);
        }
    }
    return recent;
}

std::size_t directory_server::entry_count() const
{
    return entry_count_with_evacuations(0);
}

std::size_t
directory_server::entry_count_with_evacuations(std::uint64_t index) const
{
    const auto now = timers_.now();
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [now, index](const auto& each)
                      {
                          const auto& entry = each.second;
                          return now - entry.last_request <= entry_lifetime &&
                                 entry.evacuation_index >= index;
                      }));
}

void directory_server::publish_soon()
{
    if (publish_pending_)
    {
        return;
    }
    publish_pending_ = true;
    delayed_publish_ = timers_.after(publish_delay,
                                     [this](time_point)
                                     {
                                         publish_pending_ = false;
                                         publish();
                                     });
}

void directory_server::publish()
{
    const auto now = current_view();
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (!has_changes(it->second.request, now))
        {
            ++it;
            continue;
        }
        const auto done = std::move(it->second);
        it = waiting_.erase(it);
        reply(done.request, done.includes_plan, done.answer, now);
    }
}

void directory_server::answer_timed_out(std::uint64_t id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end())
    {
        return;
    }
    const auto done = std::move(found->second);
    waiting_.erase(found);
    reply(done.request, done.includes_plan, done.answer, current_view());
}

} // namespace boragestand::fleet
