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

/// Requests that one peer may have open at once on a connection.
constexpr std::uint32_t max_concurrent_streams = 256;

/// Bytes of bodies that one connection buffers at most in each direction. A
/// peer that reads too slowly for it loses the connection.
constexpr std::size_t max_connection_backlog = 4 * max_body_size;

/// Bytes of header fields that are accepted in one message.
constexpr std::size_t max_header_bytes = 64 * 1024;

/// Moves the frames of one nghttp2 session over one non-blocking socket. User
/// callbacks never run inside nghttp2: its callbacks queue events, which run
/// after nghttp2 has returned.
class http2_connection : public std::enable_shared_from_this<http2_connection>
{
public:
    http2_connection(main_loop& loop, unique_fd fd);
    virtual ~http2_connection();

    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    /// Sends what the session has ready, as far as the socket takes it.
    void flush();

    /// Closes the socket. Drops queued events and calls on_closed() once.
    void close();

    /// Whether the socket is open.
    bool is_open() const { return static_cast<bool>(fd_); }

    /// Whether bytes wait because the peer does not read.
    bool is_blocked() const { return !unsent_.empty(); }

    /// Bytes that have arrived since the start.
    std::uint64_t received_bytes() const { return received_bytes_; }

    /// Whether the connection is not established yet.
    bool is_connecting() const { return connecting_; }

protected:
    /// Called when the connection has been closed for any reason.
    virtual void on_closed() = 0;

    /// Takes over the session and starts to watch the socket.
    void start(nghttp2_session* session);

    /// Runs the event after nghttp2 has returned.
    void queue_event(std::function<void()> event);

    /// Closes the connection on the next turn of the loop.
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
    readiness watched_{readiness::none};
    bool connecting_{true};
    bool in_nghttp2_{false};
    bool running_events_{false};
    std::string unsent_;
    std::uint64_t received_bytes_{0};
    std::vector<std::function<void()>> events_;
};

/// Creates header fields that point into their arguments.
nghttp2_nv header_field(std::string_view name, std::string_view value);

/// Settings that both sides announce.
void submit_settings(nghttp2_session* session);

} // namespace boragestand::transport
