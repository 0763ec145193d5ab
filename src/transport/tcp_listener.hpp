#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"
#include "transport/main_loop.hpp"
#include "transport/unique_fd.hpp"

#include <functional>

namespace boragestand::transport
{

/// A listening TCP socket that passes accepted connections to a callback. It
/// pauses briefly when the process has no file descriptor left.
class tcp_listener
{
public:
    using accept_callback = std::function<void(unique_fd, const endpoint&)>;

    /// Starts to listen; error_kind::unavailable if the endpoint cannot be
    /// bound.
    static result<tcp_listener> open(main_loop& loop, const endpoint& local);

    /// Starts to accept. The listener must not move from then on.
    void start(accept_callback callback);

    /// Accepts the connections that the kernel has accepted already, whose
    /// requests may be under way, and closes the socket.
    void close();

    /// The bound endpoint, with the port that the kernel chose if 0 was
    /// requested.
    endpoint local_endpoint() const { return local_; }

private:
    tcp_listener(main_loop& loop, unique_fd fd);

    void watch();
    void accept_pending();
    void pause();

    main_loop* loop_;
    unique_fd fd_;
    endpoint local_;
    accept_callback callback_;
    subscription watch_;
    subscription pause_;
};

/// Disables Nagle's algorithm and enables keepalive probes.
void set_connection_options(int fd);

} // namespace boragestand::transport
