#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"
#include "transport/http2_message.hpp"
#include "transport/main_loop.hpp"
#include "transport/unique_fd.hpp"

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boragestand::transport
{

/// Concurrent requests that a peer may have open on one connection.
constexpr std::uint32_t max_concurrent_streams = 256;

/// Maximum number of body bytes that one connection buffers in each direction.
/// The connection of a peer that reads too slowly is closed at this limit.
constexpr std::size_t max_connection_backlog = 4 * max_body_size;

/// Maximum size in bytes of the header fields of one message.
constexpr std::size_t max_header_bytes = 64 * 1024;

/// Transfers the frames of one nghttp2 session over one non-blocking socket.
/// User callbacks never run inside nghttp2: its callbacks queue events, which
/// run after nghttp2 has returned.
class http2_connection : public std::enable_shared_from_this<http2_connection>
{
public:
    http2_connection(main_loop& loop, unique_fd fd);
    virtual ~http2_connection();

    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    /// Sends the pending frames of the session until the socket would block.
    void flush();

    /// Closes the socket. Drops queued events and calls on_closed() once.
    void close();

    /// Whether the socket is open.
    bool is_open() const { return static_cast<bool>(fd_); }

    /// Whether frames wait because the send buffer of the socket is full.
    bool has_unsent_bytes() const { return !unsent_.empty(); }

    /// Number of bytes received on this connection.
    std::uint64_t received_bytes() const { return received_bytes_; }

    /// Whether the TCP connection is not established yet.
    bool is_connecting() const { return connecting_; }

protected:
    /// Called when the connection has been closed for any reason.
    virtual void on_closed() = 0;

    /// Takes ownership of the session and starts to watch the socket.
    void start(nghttp2_session* session);

    /// Queues an event that runs after nghttp2 has returned.
    void queue_event(std::function<void()> event);

    /// Closes the connection on the next iteration of the loop.
    void close_later();

    nghttp2_session* session() const { return session_; }
    main_loop& loop() const { return loop_; }
    int fd() const { return fd_.value(); }

private:
    void handle_ready(readiness ready);
    bool finish_connect();
    bool receive();
    void run_events();
    bool write_unsent();
    bool send_frames();
    void update_watch();
    void watch(readiness wanted);

    main_loop& loop_;
    unique_fd fd_;
    nghttp2_session* session_{nullptr};
    subscription watch_;
    readiness watched_conditions_{readiness::none};
    bool connecting_{true};
    bool in_nghttp2_{false};
    bool running_events_{false};
    std::string unsent_;
    std::uint64_t received_bytes_{0};
    std::vector<std::function<void()>> events_;
};

/// Creates a header field that refers to its arguments without a copy.
nghttp2_nv header_field(std::string_view name, std::string_view value);

/// Submits the SETTINGS frame and the window sizes that both client and server
/// use.
void submit_settings(nghttp2_session* session);

} // namespace boragestand::transport
