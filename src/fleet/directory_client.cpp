#include "fleet/directory_client.hpp"

#include "fleet/fleet_times.hpp"

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
}

void directory_client::send_request()
{
    asked_at_ = timers_.now();
    auto request = hooks_.request();
    request.epoch = epoch_;
    request.cursor = cursor_;
    request.wants_current = !request.from_replica && !current_;
    client_.request({.method = "POST",
                     .path = "/v1/directory",
                     .headers = {},
                     .body = coordination::encode_message(request)},
                    directory_timeout,
                    [this](const result<transport::http_response>& response)
                    { handle_response(response); });
}

void directory_client::handle_response(
    const result<transport::http_response>& response)
{
    if (stopped_)
    {
        return;
    }
    if (!response)
    {
        handle_failure(response.error());
        return;
    }
    if (response->status != 200)
    {
        handle_failure(
            {error_kind::unavailable, transport::to_string(remote_) +
                                          " answered with status " +
                                          std::to_string(response->status)});
        return;
    }
    const auto received_at = timers_.now();
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
    last_contact_ = asked_at_;
    auto update = take_page(std::move(*reply));
    update.bytes = response->body.size();
    update.decode_time = timers_.now() - received_at;
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
        return {std::move(reply), reply_scope::changes, asked_at_, 0, {}};
    }
    pages_->insert(pages_->end(), reply.upstreams.begin(),
                   reply.upstreams.end());
    if (reply.has_more)
    {
        return {std::move(reply), reply_scope::part, asked_at_, 0, {}};
    }
    reply.upstreams = std::move(*pages_);
    pages_.reset();
    return {std::move(reply), reply_scope::whole, asked_at_, 0, {}};
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
