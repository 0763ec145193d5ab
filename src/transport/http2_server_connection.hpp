#pragma once

#include "transport/http2_connection.hpp"
#include "transport/http2_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace boragestand::transport
{

class http2_server_exchange;

/// One accepted connection of an http2_server.
class http2_server_connection final : public http2_connection
{
public:
    /// Callbacks to the server, which outlives the sockets of its connections.
    struct server_callbacks
    {
        http2_server::handler on_request;
        std::function<void(http2_server_connection*)> on_closed;
    };

    http2_server_connection(main_loop& loop, unique_fd fd, endpoint peer,
                            server_callbacks callbacks);
    ~http2_server_connection() override;

    /// Creates the session and starts to receive requests.
    void open();

    /// Accepts no further requests on this connection.
    void stop_accepting();

    /// Requests whose response is not complete.
    std::size_t open_exchanges() const;

    /// Submits the response headers; the body is read from the exchange.
    void submit_response(std::int32_t stream, int status,
                         const http_headers& headers);

    /// Resumes sending after the exchange has appended to its body.
    void resume(std::int32_t stream);

    /// Closes the connection if the unread response bodies exceed
    /// max_connection_backlog.
    void check_backlog();

    /// The remote endpoint.
    const endpoint& peer() const { return peer_; }

private:
    struct stream_state
    {
        http_request request;
        std::size_t header_bytes{0};
        bool rejected{false};
        bool dispatched{false};
        std::shared_ptr<http2_server_exchange> exchange;
    };

    void on_closed() override;
    void add_header(stream_state& stream, std::string_view name,
                    std::string_view value);
    void add_body(std::int32_t id, stream_state& stream,
                  std::string_view bytes);
    void end_request(std::int32_t id);
    void end_stream(std::int32_t id);

    static nghttp2_session_callbacks* create_callbacks();
    static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame,
                                void* user);
    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size,
                         const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t flags, void* user);
    static int on_data_chunk(nghttp2_session*, std::uint8_t flags,
                             std::int32_t id, const std::uint8_t* data,
                             std::size_t size, void* user);
    static int on_frame_received(nghttp2_session*, const nghttp2_frame* frame,
                                 void* user);
    static int on_stream_closed(nghttp2_session*, std::int32_t id,
                                std::uint32_t error, void* user);
    static ssize_t read_body(nghttp2_session*, std::int32_t id,
                             std::uint8_t* buffer, std::size_t capacity,
                             std::uint32_t* flags, nghttp2_data_source* source,
                             void* user);

    endpoint peer_;
    server_callbacks callbacks_;
    std::map<std::int32_t, stream_state> streams_;
    std::size_t buffered_request_bytes_{0};
};

} // namespace boragestand::transport
