#pragma once

#include "transport/http2_body.hpp"
#include "transport/http2_client.hpp"
#include "transport/http2_connection.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace boragestand::transport
{

/// One connection of an http2_client.
class http2_client_connection final : public http2_connection
{
public:
    using closed_callback = std::function<void(http2_client_connection*)>;

    /// Starts to connect; null if that fails immediately.
    static std::shared_ptr<http2_client_connection>
    connect(main_loop& loop, const endpoint& remote, duration timeout,
            closed_callback on_closed);

    http2_client_connection(main_loop& loop, unique_fd fd,
                            const endpoint& remote, closed_callback on_closed);

    /// Sends a request and returns its stream identifier, or a negative number
    /// if the connection accepts no further requests. on_end is the last
    /// callback of the request.
    std::int32_t submit(http_request request,
                        std::function<void(int, http_headers)> on_headers,
                        std::function<void(std::string_view)> on_chunk,
                        std::function<void(result<void>)> on_end);

    /// Cancels a request; its callbacks do not run again.
    void cancel(std::int32_t stream);

    /// Accepts no further requests and closes the connection on the next
    /// iteration of the loop; open requests fail.
    void retire()
    {
        retired_ = true;
        close_later();
    }

    /// Closes the connection without running callbacks of its requests.
    void close_without_callbacks();

    /// Whether further requests can be sent on this connection.
    bool accepts_requests() const { return is_open() && !retired_; }

    /// Requests without a complete response.
    std::size_t open_streams() const { return streams_.size(); }

private:
    struct stream_state
    {
        http2_body body;
        int status{0};
        http_headers headers;
        std::size_t header_bytes{0};
        bool headers_received{false};
        bool complete{false};
        std::function<void(int, http_headers)> on_headers;
        std::function<void(std::string_view)> on_chunk;
        std::function<void(result<void>)> on_end;
    };

    void open(duration timeout);
    void on_closed() override;
    void end_stream(std::int32_t id, bool complete);
    std::shared_ptr<stream_state> find(std::int32_t id) const;

    static nghttp2_session_callbacks* create_callbacks();
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

    endpoint remote_;
    closed_callback on_closed_;
    std::map<std::int32_t, std::shared_ptr<stream_state>> streams_;
    subscription connect_timeout_;
    bool retired_{false};
};

} // namespace boragestand::transport
