#include "transport/http2_server_exchange.hpp"

#include "transport/http2_server_connection.hpp"

#include <utility>

namespace boragestand::transport
{

http2_server_exchange::http2_server_exchange(
    std::weak_ptr<http2_server_connection> connection, std::int32_t stream,
    endpoint peer)
    : connection_(std::move(connection)), stream_(stream), peer_(peer)
{
}

bool http2_server_exchange::is_open() const
{
    const auto connection = connection_.lock();
    return !closed_ && connection && connection->is_open();
}

void http2_server_exchange::respond(http_response response)
{
    if (started_ || !is_open())
    {
        return;
    }
    started_ = true;
    body_.append(response.body);
    body_.finish();
    const auto connection = connection_.lock();
    connection->submit_response(stream_, response.status, response.headers);
    connection->flush();
    connection->check_backlog();
}

void http2_server_exchange::start_stream(int status, http_headers headers)
{
    if (started_ || !is_open())
    {
        return;
    }
    started_ = true;
    const auto connection = connection_.lock();
    connection->submit_response(stream_, status, headers);
    connection->flush();
}

void http2_server_exchange::send_chunk(std::string_view bytes)
{
    if (!started_ || body_.is_finished() || !is_open())
    {
        return;
    }
    body_.append(bytes);
    const auto connection = connection_.lock();
    connection->resume(stream_);
    connection->check_backlog();
}

void http2_server_exchange::finish_stream()
{
    if (!started_ || body_.is_finished() || !is_open())
    {
        return;
    }
    body_.finish();
    connection_.lock()->resume(stream_);
}

void http2_server_exchange::on_abandoned(std::function<void()> callback)
{
    if (closed_)
    {
        callback();
        return;
    }
    abandoned_callback_ = std::move(callback);
}

void http2_server_exchange::close()
{
    if (std::exchange(closed_, true))
    {
        return;
    }
    const auto callback = std::exchange(abandoned_callback_, nullptr);
    const bool complete = body_.is_finished() && body_.size() == 0;
    if (callback && !complete)
    {
        callback();
    }
}

} // namespace boragestand::transport
