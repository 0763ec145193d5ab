#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"
#include "transport/http2_message.hpp"
#include "transport/main_loop.hpp"
#include "transport/timer_service.hpp"

#include <functional>
#include <memory>

namespace boragestand::transport
{

/// Limits of one HTTP/1.1 server.
struct http1_limits
{
    /// Largest request body in bytes; longer ones are answered with 413.
    std::size_t max_body{4 * 1024 * 1024};
    /// Largest request header in bytes; longer ones are answered with 431.
    std::uint32_t max_header{16 * 1024};
    /// Concurrent connections. At the limit, a new connection replaces the one
    /// that has been idle longest; if none is idle, the new one is closed.
    std::size_t max_connections{512};
    /// A connection that is not handling a request, including one whose
    /// request is incomplete, is closed after this time without activity.
    duration idle_timeout{std::chrono::seconds(15)};
};

/// Counters of one server since it was opened.
struct http1_counters
{
    std::uint64_t accepted{0};  ///< connections
    std::uint64_t requests{0};  ///< complete requests
    std::uint64_t malformed{0}; ///< requests that could not be parsed
    std::uint64_t timeouts{0};  ///< connections closed by idle_timeout
};

/// Serves HTTP/1.1 with persistent connections on one endpoint. Pipelined
/// requests of a connection are handled one at a time, in order.
class http1_server
{
public:
    /// Sends the response to one request. May be called after the handler has
    /// returned; only the first call counts. Has no effect once the connection
    /// is closed.
    using responder = std::function<void(http_response)>;
    using handler =
        std::function<void(http_request, const endpoint& peer, responder)>;

    /// Starts to listen; error_kind::unavailable if the endpoint cannot be
    /// bound.
    static result<std::unique_ptr<http1_server>>
    listen(main_loop& loop, timer_service& timers, const endpoint& local,
           const http1_limits& limits, handler handle);

    /// Closes all connections.
    ~http1_server();

    /// The bound endpoint.
    endpoint local_endpoint() const;

    /// Closes the listener; requests in progress are still answered.
    void stop_accepting();

    /// Requests whose response has not been sent completely.
    std::size_t open_requests() const;

    const http1_counters& counters() const;

private:
    struct implementation;
    explicit http1_server(std::shared_ptr<implementation> implementation);
    std::shared_ptr<implementation> implementation_;
};

} // namespace boragestand::transport
