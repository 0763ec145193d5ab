#include "transport/http2_server_connection.hpp"

#include "transport/http2_server_exchange.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::transport
{

namespace
{

http2_server_connection* connection_of(void* user)
{
    return static_cast<http2_server_connection*>(
        static_cast<http2_connection*>(user));
}

std::string_view to_string_view(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

bool ends_stream(const nghttp2_frame& frame)
{
    const bool carries_message =
        frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    return carries_message && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM);
}

const http_response& too_large_response()
{
    static const http_response response{
        413,
        {{"content-type", "application/json"}},
        R"({"error":"resource_exhausted","message":"The body is too large."})"};
    return response;
}

} // namespace

http2_server_connection::http2_server_connection(main_loop& loop, unique_fd fd,
                                                 endpoint peer,
                                                 server_callbacks callbacks)
    : http2_connection(loop, std::move(fd))
    , peer_(peer)
    , callbacks_(std::move(callbacks))
{
}

http2_server_connection::~http2_server_connection() = default;

nghttp2_session_callbacks* http2_server_connection::create_callbacks()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            &on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &on_data_chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         &on_frame_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &on_stream_closed);
    return callbacks;
}

void http2_server_connection::open()
{
    nghttp2_session_callbacks* callbacks = create_callbacks();
    nghttp2_session* session = nullptr;
    nghttp2_session_server_new(&session, callbacks,
                               static_cast<http2_connection*>(this));
    nghttp2_session_callbacks_del(callbacks);
    submit_settings(session);
    start(session);
}

void http2_server_connection::stop_accepting()
{
    nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session()),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

std::size_t http2_server_connection::open_exchanges() const
{
    return static_cast<std::size_t>(std::count_if(
        streams_.begin(), streams_.end(),
        [](const auto& entry) { return entry.second.exchange != nullptr; }));
}

void http2_server_connection::submit_response(std::int32_t stream, int status,
                                              const http_headers& headers)
{
    const std::string status_text = std::to_string(status);
    std::vector<nghttp2_nv> fields{header_field(":status", status_text)};
    for (const auto& [name, value] : headers)
    {
        fields.push_back(header_field(name, value));
    }
    nghttp2_data_provider provider{};
    provider.read_callback = &read_body;
    nghttp2_submit_response(session(), stream, fields.data(), fields.size(),
                            &provider);
}

void http2_server_connection::resume(std::int32_t stream)
{
    nghttp2_session_resume_data(session(), stream);
    flush();
}

void http2_server_connection::check_backlog()
{
    std::size_t total = 0;
    for (const auto& [id, stream] : streams_)
    {
        total += stream.exchange ? stream.exchange->backlog() : 0;
    }
    if (total > max_connection_backlog)
    {
        close_later();
    }
}

void http2_server_connection::on_closed()
{
    for (auto& [id, stream] : std::exchange(streams_, {}))
    {
        if (stream.exchange)
        {
            stream.exchange->close();
        }
    }
    if (callbacks_.on_closed)
    {
        callbacks_.on_closed(this);
    }
}

void http2_server_connection::add_header(stream_state& stream,
                                         std::string_view name,
                                         std::string_view value)
{
    if (name == ":method")
    {
        stream.request.method = value;
        return;
    }
    if (name == ":path")
    {
        stream.request.path = value;
        return;
    }
    if (!name.starts_with(':'))
    {
        stream.request.headers[std::string(name)] = value;
    }
}

void http2_server_connection::add_body(std::int32_t id, stream_state& stream,
                                       std::string_view bytes)
{
    if (stream.rejected)
    {
        return;
    }
    const bool too_large =
        stream.request.body.size() + bytes.size() > max_body_size ||
        buffered_request_bytes_ + bytes.size() > max_connection_backlog;
    if (!too_large)
    {
        stream.request.body.append(bytes);
        buffered_request_bytes_ += bytes.size();
        return;
    }
    stream.rejected = true;
    buffered_request_bytes_ -= stream.request.body.size();
    stream.request.body = {};
    queue_event(
        [this, id]
        {
            const auto found = streams_.find(id);
            if (found == streams_.end())
            {
                return;
            }
            found->second.exchange = std::make_shared<http2_server_exchange>(
                std::static_pointer_cast<http2_server_connection>(
                    shared_from_this()),
                id, peer_);
            found->second.exchange->respond(too_large_response());
        });
}

void http2_server_connection::end_request(std::int32_t id)
{
    const auto found = streams_.find(id);
    if (found == streams_.end() || found->second.rejected ||
        std::exchange(found->second.dispatched, true))
    {
        return;
    }
    stream_state& stream = found->second;
    buffered_request_bytes_ -= stream.request.body.size();
    stream.exchange = std::make_shared<http2_server_exchange>(
        std::static_pointer_cast<http2_server_connection>(shared_from_this()),
        id, peer_);
    callbacks_.on_request(std::move(stream.request), stream.exchange);
}

void http2_server_connection::end_stream(std::int32_t id)
{
    const auto found = streams_.find(id);
    if (found == streams_.end())
    {
        return;
    }
    const auto exchange = found->second.exchange;
    if (!found->second.dispatched)
    {
        buffered_request_bytes_ -= found->second.request.body.size();
    }
    streams_.erase(found);
    if (exchange)
    {
        queue_event([exchange] { exchange->close(); });
    }
}

int http2_server_connection::on_begin_headers(nghttp2_session*,
                                              const nghttp2_frame* frame,
                                              void* user)
{
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST)
    {
        connection_of(user)->streams_[frame->hd.stream_id];
    }
    return 0;
}

int http2_server_connection::on_header(
    nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
    std::uint8_t, void* user)
{
    auto* self = connection_of(user);
    const auto found = self->streams_.find(frame->hd.stream_id);
    if (found == self->streams_.end())
    {
        return 0;
    }
    stream_state& stream = found->second;
    stream.header_bytes += name_size + value_size;
    if (stream.header_bytes > max_header_bytes)
    {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    self->add_header(stream, to_string_view(name, name_size),
                     to_string_view(value, value_size));
    return 0;
}

int http2_server_connection::on_data_chunk(nghttp2_session*, std::uint8_t,
                                           std::int32_t id,
                                           const std::uint8_t* data,
                                           std::size_t size, void* user)
{
    auto* self = connection_of(user);
    const auto found = self->streams_.find(id);
    if (found != self->streams_.end())
    {
        self->add_body(id, found->second, to_string_view(data, size));
    }
    return 0;
}

int http2_server_connection::on_frame_received(nghttp2_session*,
                                               const nghttp2_frame* frame,
                                               void* user)
{
    auto* self = connection_of(user);
    if (ends_stream(*frame))
    {
        // Queued, so that a request that is cancelled in the same read is not
        // handled.
        self->queue_event([self, id = frame->hd.stream_id]
                          { self->end_request(id); });
    }
    return 0;
}

int http2_server_connection::on_stream_closed(nghttp2_session*, std::int32_t id,
                                              std::uint32_t, void* user)
{
    connection_of(user)->end_stream(id);
    return 0;
}

ssize_t http2_server_connection::read_body(nghttp2_session*, std::int32_t id,
                                           std::uint8_t* buffer,
                                           std::size_t capacity,
                                           std::uint32_t* flags,
                                           nghttp2_data_source*, void* user)
{
    auto* self = connection_of(user);
    const auto found = self->streams_.find(id);
    if (found == self->streams_.end() || !found->second.exchange)
    {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    return found->second.exchange->body().read(buffer, capacity, flags);
}

} // namespace boragestand::transport
