#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"
#include "transport/main_loop.hpp"
#include "transport/unique_fd.hpp"

#include <functional>

namespace boragestand::transport
{

/// A listening TCP socket that hands out accepted connections. It pauses for a
/// moment when the process has no descriptor left.
class tcp_listener
{
public:
    using accept_callback = std::function<void(unique_fd, const endpoint&)>;

    /// Listens; error_kind::unavailable if the endpoint cannot be bound.
    static result<tcp_listener> open(main_loop& loop, const endpoint& local);

    /// Starts to accept. The listener must not move from then on.
    void start(accept_callback callback);

    /// Closes the socket.
    void close();

    /// The bound endpoint, with the port that the kernel chose if 0 was asked.
    endpoint local_endpoint() const { return local_; }

private:
    tcp_listener(main_loop& loop, unique_fd fd);

    void watch();
    void accept_waiting();
    void pause();

    main_loop* loop_;
    unique_fd fd_;
    endpoint local_;
    accept_callback callback_;
    subscription watch_;
    subscription pause_;
};

/// Sends small writes at once and lets the kernel probe a silent peer.
void set_stream_options(int fd);

} // namespace boragestand::transport
