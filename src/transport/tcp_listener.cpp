#include "transport/tcp_listener.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace boragestand::transport
{

namespace
{

// Pause between accept() calls when the process has no file descriptor left.
// Without it the listening socket would stay readable and the loop would spin.
constexpr duration accept_pause = std::chrono::milliseconds(100);

endpoint bound_endpoint(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return from_sockaddr(address);
}

} // namespace

result<tcp_listener> tcp_listener::open(main_loop& loop, const endpoint& local)
{
    unique_fd fd(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    ::setsockopt(fd.value(), SOL_SOCKET, SO_REUSEADDR, &enabled,
                 sizeof enabled);
    const sockaddr_in address = to_sockaddr(local);
    if (!fd ||
        ::bind(fd.value(), reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(fd.value(), SOMAXCONN) != 0)
    {
        return failure(error_kind::unavailable,
                       "HTTP endpoint " + to_string(local) +
                           " cannot be bound: " + std::strerror(errno));
    }
    return tcp_listener(loop, std::move(fd));
}

tcp_listener::tcp_listener(main_loop& loop, unique_fd fd)
    : loop_(&loop), fd_(std::move(fd)), local_(bound_endpoint(fd_.value()))
{
}

void tcp_listener::start(accept_callback callback)
{
    callback_ = std::move(callback);
    watch();
}

void tcp_listener::close()
{
    accept_pending();
    watch_.cancel();
    pause_.cancel();
    fd_ = unique_fd();
}

void tcp_listener::watch()
{
    watch_ = loop_->watch(fd_.value(), readiness::readable,
                          [this](readiness) { accept_pending(); });
}

void tcp_listener::accept_pending()
{
    while (fd_)
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        unique_fd fd(::accept4(fd_.value(),
                               reinterpret_cast<sockaddr*>(&address), &size,
                               SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (fd)
        {
            set_connection_options(fd.value());
            callback_(std::move(fd), from_sockaddr(address));
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
            errno == ENOMEM)
        {
            pause();
            return;
        }
        if (errno != EINTR && errno != ECONNABORTED)
        {
            return;
        }
    }
}

void tcp_listener::pause()
{
    watch_.cancel();
    pause_ = loop_->schedule(accept_pause, false, [this] { watch(); });
}

void set_connection_options(int fd)
{
    const int enabled = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
}

} // namespace boragestand::transport
