#include "fleet/directory_client.hpp"

#include "fleet/directory_paths.hpp"
#include "fleet/fleet_times.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::fleet
{

directory_client::directory_client(transport::main_loop& loop,
                                   transport::timer_service& timers,
                                   const transport::endpoint& remote,
                                   hooks callbacks, duration connect_timeout)
    : timers_(timers)
    , remote_(remote)
    , hooks_(std::move(callbacks))
    , client_(loop, timers, remote, connect_timeout)
{
}

void directory_client::stop()
{
    stopped_ = true;
    retry_.cancel();
    if (const auto callback = std::exchange(page_callback_, nullptr))
    {
        callback(failure(error_kind::cancelled, "another source was chosen"),
                 0);
    }
}

void directory_client::send_request()
{
    asked_at_ = timers_.now();
    auto request = hooks_.request();
    request.epoch = epoch_;
    request.cursor = cursor_;
    request.wants_current = !request.from_replica && !current_;
    // A version that was named is requested beside the directory, so it must
    // not make every reply due at once.
    request.plan_version = std::max(request.plan_version, named_plan_);
    client_.request(
        {.method = "POST",
         .path = directory_path,
         .headers = {{plan_delivery_header, separate_plan}},
         .body = coordination::encode_message(request)},
        directory_timeout,
        [this](const result<transport::http_response>& response)
        { handle_response(response); },
        transport::http2_client::time_limit::silence);
}

void directory_client::request_plan(const coordination::plan_request& request,
                                    page_callback callback)
{
    page_callback_ = std::move(callback);
    client_.request(
        {.method = "POST",
         .path = plan_path,
         .headers = {},
         .body = coordination::encode_message(request)},
        plan_page_timeout,
        [this](const result<transport::http_response>& response)
        { handle_page(response); },
        transport::http2_client::time_limit::silence);
}

void directory_client::handle_page(
    const result<transport::http_response>& response)
{
    const auto callback = std::exchange(page_callback_, nullptr);
    if (!callback)
    {
        return;
    }
    const auto checked = check_status(response);
    if (!checked)
    {
        callback(tl::unexpected(checked.error()), 0);
        return;
    }
    callback(coordination::decode_plan_page(response->body),
             response->body.size());
}

result<void> directory_client::check_status(
    const result<transport::http_response>& response) const
{
    if (!response)
    {
        return tl::unexpected(response.error());
    }
    if (response->status != 200)
    {
        return failure(error_kind::unavailable,
                       transport::to_string(remote_) +
                           " answered with status " +
                           std::to_string(response->status));
    }
    return {};
}

void directory_client::handle_response(
    const result<transport::http_response>& response)
{
    if (stopped_)
    {
        return;
    }
    const auto checked = check_status(response);
    if (!checked)
    {
        handle_failure(checked.error());
        return;
    }
    auto reply = coordination::decode_directory_reply(response->body);
    if (!reply)
    {
        handle_failure(reply.error());
        return;
    }
    if (reply->epoch != epoch_)
    {
        pages_.emplace();
    }
    epoch_ = reply->epoch;
    cursor_ = reply->cursor;
    current_ = reply->current;
    named_plan_ = reply->plan_version;
    last_contact_ = asked_at_;
    const auto update = take_page(std::move(*reply));
    // The callback may replace this client, so it runs last and the next
    // request is sent on a later turn of the loop.
    retry_ = timers_.after(duration(0), [this](time_point) { send_request(); });
    hooks_.replied(update);
}

directory_update
directory_client::take_page(coordination::directory_reply reply)
{
    if (!pages_)
    {
        return {std::move(reply), reply_scope::changes, asked_at_};
    }
    pages_->insert(pages_->end(), reply.upstreams.begin(),
                   reply.upstreams.end());
    if (reply.has_more)
    {
        return {std::move(reply), reply_scope::part, asked_at_};
    }
    reply.upstreams = std::move(*pages_);
    pages_.reset();
    return {std::move(reply), reply_scope::whole, asked_at_};
}

void directory_client::handle_failure(const error& cause)
{
    retry_ =
        timers_.after(directory_retry, [this](time_point) { send_request(); });
    if (!hooks_.failed(cause))
    {
        retry_.cancel();
    }
}

} // namespace boragestand::fleet
