#include "transport/http2_client_connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace boragestand::transport
{

namespace
{

// The kernel closes a connection to a peer that disappeared without a reset
// after about ten seconds, idle or not.
constexpr int user_timeout_milliseconds = 10000;
constexpr int keepalive_idle_seconds = 4;
constexpr int keepalive_interval_seconds = 2;
constexpr int keepalive_probes = 3;

http2_client_connection* connection_of(void* user)
{
    return static_cast<http2_client_connection*>(
        static_cast<http2_connection*>(user));
}

void set_option(int fd, int level, int name, int value)
{
    ::setsockopt(fd, level, name, &value, sizeof value);
}

void set_client_options(int fd)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_milliseconds);
}

error connection_lost_error(const endpoint& remote)
{
    return {error_kind::unavailable,
            "The connection to " + to_string(remote) + " was lost."};
}

} // namespace

http2_client_connection::http2_client_connection(main_loop& loop, unique_fd fd,
                                                 const endpoint& remote,
                                                 closed_callback on_closed)
    : http2_connection(loop, std::move(fd))
    , remote_(remote)
    , on_closed_(std::move(on_closed))
{
}

std::shared_ptr<http2_client_connection>
http2_client_connection::connect(main_loop& loop, const endpoint& remote,
                                 duration timeout, closed_callback on_closed)
{
    unique_fd fd(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd)
    {
        return nullptr;
    }
    set_client_options(fd.value());
    const sockaddr_in address = to_sockaddr(remote);
    if (::connect(fd.value(), reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0 &&
        errno != EINPROGRESS)
    {
        return nullptr;
    }
    auto connection = std::make_shared<http2_client_connection>(
        loop, std::move(fd), remote, std::move(on_closed));
    connection->open(timeout);
    return connection;
}

nghttp2_session_callbacks* http2_client_connection::create_callbacks()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &on_data_chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         &on_frame_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &on_stream_closed);
    return callbacks;
}

void http2_client_connection::open(duration timeout)
{
    nghttp2_session_callbacks* callbacks = create_callbacks();
    nghttp2_session* session = nullptr;
    nghttp2_session_client_new(&session, callbacks,
                               static_cast<http2_connection*>(this));
    nghttp2_session_callbacks_del(callbacks);
    submit_settings(session);
    start(session);
    connect_timeout_ = loop().schedule(timeout, false,
                                       [this]
                                       {
                                           if (is_connecting())
                                           {
                                               close();
                                           }
                                       });
}

std::int32_t http2_client_connection::submit(
    http_request request, std::function<void(int, http_headers)> on_headers,
    std::function<void(std::string_view)> on_chunk,
    std::function<void(result<void>)> on_end)
{
    const std::string authority = to_string(remote_);
    std::vector<nghttp2_nv> fields{header_field(":method", request.method),
                                   header_field(":scheme", "http"),
                                   header_field(":authority", authority),
                                   header_field(":path", request.path)};
    for (const auto& [name, value] : request.headers)
    {
        fields.push_back(header_field(name, value));
    }
    nghttp2_data_provider provider{};
    provider.read_callback = &read_body;
    const bool has_body = !request.body.empty();
    const std::int32_t id =
        nghttp2_submit_request(session(), nullptr, fields.data(), fields.size(),
                               has_body ? &provider : nullptr, nullptr);
    if (id < 0)
    {
        return id;
    }
    auto state = std::make_shared<stream_state>();
    state->body.append(request.body);
    state->body.finish();
    state->on_headers = std::move(on_headers);
    state->on_chunk = std::move(on_chunk);
    state->on_end = std::move(on_end);
    streams_[id] = std::move(state);
    flush();
    return id;
}

void http2_client_connection::cancel(std::int32_t stream)
{
    if (streams_.erase(stream) == 0 || !is_open())
    {
        return;
    }
    // RST_STREAM frames would accumulate for a peer that does not read, so the
    // whole connection is closed.
    if (has_unsent_bytes() || is_connecting())
    {
        close_later();
        return;
    }
    nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_CANCEL);
    flush();
}

void http2_client_connection::close_without_callbacks()
{
    streams_.clear();
    close();
}

void http2_client_connection::on_closed()
{
    retired_ = true;
    for (const auto& [id, stream] : std::exchange(streams_, {}))
    {
        stream->on_end(tl::unexpected<error>(connection_lost_error(remote_)));
    }
    if (const auto callback = std::exchange(on_closed_, nullptr))
    {
        callback(this);
    }
}

std::shared_ptr<http2_client_connection::stream_state>
http2_client_connection::find(std::int32_t id) const
{
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second;
}

void http2_client_connection::end_stream(std::int32_t id, bool complete)
{
    const auto stream = find(id);
    if (!stream)
    {
        return;
    }
    streams_.erase(id);
    if (complete)
    {
        stream->on_end({});
        return;
    }
    stream->on_end(
        failure(error_kind::unavailable,
                "The response of " + to_string(remote_) + " ended early."));
}

int http2_client_connection::on_header(
    nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
    std::uint8_t, void* user)
{
    const auto stream = connection_of(user)->find(frame->hd.stream_id);
    if (!stream || stream->headers_received)
    {
        return 0;
    }
    stream->header_bytes += name_size + value_size;
    if (stream->header_bytes > max_header_bytes)
    {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_size);
    if (key == ":status")
    {
        std::from_chars(text.data(), text.data() + text.size(), stream->status);
        return 0;
    }
    if (!key.starts_with(':'))
    {
        stream->headers[std::string(key)] = text;
    }
    return 0;
}

int http2_client_connection::on_data_chunk(nghttp2_session*, std::uint8_t,
                                           std::int32_t id,
                                           const std::uint8_t* data,
                                           std::size_t size, void* user)
{
    auto* self = connection_of(user);
    self->queue_event(
        [self, id,
         bytes = std::string(reinterpret_cast<const char*>(data), size)]
        {
            if (const auto stream = self->find(id))
            {
                stream->on_chunk(bytes);
            }
        });
    return 0;
}

int http2_client_connection::on_frame_received(nghttp2_session*,
                                               const nghttp2_frame* frame,
                                               void* user)
{
    auto* self = connection_of(user);
    const std::int32_t id = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_GOAWAY)
    {
        self->retired_ = true;
        return 0;
    }
    const auto stream = self->find(id);
    if (!stream)
    {
        return 0;
    }
    const bool headers = frame->hd.type == NGHTTP2_HEADERS;
    // Informational responses (1xx) precede the final one.
    if (headers && !stream->headers_received && stream->status >= 200)
    {
        stream->headers_received = true;
        self->queue_event(
            [self, id]
            {
                if (const auto found = self->find(id))
                {
                    found->on_headers(found->status, found->headers);
                }
            });
    }
    if ((headers || frame->hd.type == NGHTTP2_DATA) &&
        (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
    {
        stream->complete = true;
        self->queue_event([self, id] { self->end_stream(id, true); });
    }
    return 0;
}

int http2_client_connection::on_stream_closed(nghttp2_session*, std::int32_t id,
                                              std::uint32_t, void* user)
{
    auto* self = connection_of(user);
    const auto stream = self->find(id);
    if (stream && !stream->complete)
    {
        self->queue_event([self, id] { self->end_stream(id, false); });
    }
    return 0;
}

ssize_t http2_client_connection::read_body(nghttp2_session*, std::int32_t id,
                                           std::uint8_t* buffer,
                                           std::size_t capacity,
                                           std::uint32_t* flags,
                                           nghttp2_data_source*, void* user)
{
    const auto stream = connection_of(user)->find(id);
    if (!stream)
    {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    return stream->body.read(buffer, capacity, flags);
}

} // namespace boragestand::transport
