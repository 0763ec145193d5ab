#include "transport/http2_server.hpp"

#include "transport/http2_server_connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace boragestand::transport
{

namespace
{

// Further connections are closed at once, so that peers cannot use up the
// descriptors of the process.
constexpr std::size_t max_connections = 1024;

// Pause of accept() when the process has no descriptor left; without it the
// listening descriptor would stay ready and keep the loop busy.
constexpr duration accept_pause = std::chrono::milliseconds(100);

result<unique_fd> open_listener(const endpoint& local)
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
    return fd;
}

endpoint bound_endpoint(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return from_sockaddr(address);
}

} // namespace

struct http2_server::implementation
{
    main_loop& loop;
    unique_fd listener;
    handler handle;
    subscription watch;
    subscription pause;
    std::vector<std::shared_ptr<http2_server_connection>> connections;
    endpoint local;
    bool stopping{false};

    implementation(main_loop& owner, unique_fd fd, handler on_request)
        : loop(owner)
        , listener(std::move(fd))
        , handle(std::move(on_request))
        , local(bound_endpoint(listener.value()))
    {
    }

    void watch_listener()
    {
        watch = loop.watch(listener.value(), readiness::readable,
                           [this](readiness) { accept_waiting(); });
    }

    void accept_waiting()
    {
        while (true)
        {
            sockaddr_in address{};
            socklen_t size = sizeof address;
            unique_fd fd(::accept4(listener.value(),
                                   reinterpret_cast<sockaddr*>(&address), &size,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC));
            if (fd)
            {
                add_connection(std::move(fd), from_sockaddr(address));
                continue;
            }
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
                errno == ENOMEM)
            {
                pause_accepting();
                return;
            }
            if (errno != EINTR && errno != ECONNABORTED)
            {
                return;
            }
        }
    }

    void pause_accepting()
    {
        watch.cancel();
        pause =
            loop.schedule(accept_pause, false, [this] { watch_listener(); });
    }

    void add_connection(unique_fd fd, const endpoint& peer)
    {
        if (connections.size() >= max_connections)
        {
            return;
        }
        const int enabled = 1;
        ::setsockopt(fd.value(), IPPROTO_TCP, TCP_NODELAY, &enabled,
                     sizeof enabled);
        ::setsockopt(fd.value(), SOL_SOCKET, SO_KEEPALIVE, &enabled,
                     sizeof enabled);
        auto connection = std::make_shared<http2_server_connection>(
            loop, std::move(fd), peer,
            http2_server_connection::server_callbacks{
                [this](http_request request,
                       std::shared_ptr<http_exchange> exchange)
                { handle(std::move(request), std::move(exchange)); },
                [this](http2_server_connection* closed)
                {
                    remove(closed);
                }});
        connections.push_back(connection);
        connection->open();
    }

    void remove(http2_server_connection* closed)
    {
        std::erase_if(connections, [closed](const auto& connection)
                      { return connection.get() == closed; });
    }
};

http2_server::http2_server(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

result<std::unique_ptr<http2_server>>
http2_server::listen(main_loop& loop, const endpoint& local, handler handle)
{
    auto listener = open_listener(local);
    if (!listener)
    {
        return tl::unexpected<error>(listener.error());
    }
    auto state = std::make_unique<implementation>(loop, std::move(*listener),
                                                  std::move(handle));
    state->watch_listener();
    return std::unique_ptr<http2_server>(new http2_server(std::move(state)));
}

http2_server::~http2_server()
{
    for (const auto& connection :
         std::exchange(implementation_->connections, {}))
    {
        connection->close();
    }
}

endpoint http2_server::local_endpoint() const
{
    return implementation_->local;
}

void http2_server::stop_accepting()
{
    if (std::exchange(implementation_->stopping, true))
    {
        return;
    }
    implementation_->watch.cancel();
    implementation_->pause.cancel();
    implementation_->listener = unique_fd();
    for (const auto& connection : std::vector(implementation_->connections))
    {
        connection->stop_accepting();
    }
}

std::size_t http2_server::open_exchanges() const
{
    std::size_t total = 0;
    for (const auto& connection : implementation_->connections)
    {
        total += connection->open_exchanges();
    }
    return total;
}

} // namespace boragestand::transport
