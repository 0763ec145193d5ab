#include "transport/http2_server.hpp"

#include "transport/http2_server_connection.hpp"
#include "transport/tcp_listener.hpp"

#include <utility>
#include <vector>

namespace boragestand::transport
{

namespace
{

// Further connections are closed immediately, so that peers cannot exhaust the
// file descriptors of the process.
constexpr std::size_t max_connections = 1024;

} // namespace

struct http2_server::implementation
{
    main_loop& loop;
    tcp_listener listener;
    handler handle;
    std::vector<std::shared_ptr<http2_server_connection>> connections;
    bool stopping{false};

    implementation(main_loop& owner, tcp_listener opened, handler on_request)
        : loop(owner)
        , listener(std::move(opened))
        , handle(std::move(on_request))
    {
    }

    void start()
    {
        listener.start([this](unique_fd fd, const endpoint& peer)
                       { add_connection(std::move(fd), peer); });
    }

    void add_connection(unique_fd fd, const endpoint& peer)
    {
        if (connections.size() >= max_connections)
        {
            return;
        }
        auto connection = std::make_shared<http2_server_connection>(
            loop, std::move(fd), peer,
            http2_server_connection::server_callbacks{
                [this](http_request request,
                       std::shared_ptr<http_exchange> exchange)
                { handle(std::move(request), std::move(exchange)); },
                [this](http2_server_connection* closed)
                {
                    remove_connection(closed);
                }});
        connections.push_back(connection);
        connection->open();
    }

    void remove_connection(http2_server_connection* closed)
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
    auto listener = tcp_listener::open(loop, local);
    if (!listener)
    {
        return tl::unexpected<error>(listener.error());
    }
    auto state = std::make_unique<implementation>(loop, std::move(*listener),
                                                  std::move(handle));
    state->start();
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
    return implementation_->listener.local_endpoint();
}

void http2_server::stop_accepting()
{
    if (implementation_->stopping)
    {
        return;
    }
    implementation_->listener.close();
    implementation_->stopping = true;
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
