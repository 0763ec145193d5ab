#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"
#include "transport/http2_message.hpp"
#include "transport/main_loop.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace boragestand::transport
{

/// Sends the response to one request. It may be kept and completed later; once
/// the stream is closed, calls have no effect and is_open() is false.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends a complete response.
    virtual void respond(http_response response) = 0;

    /// Sends response headers and keeps the stream open for send_chunk().
    virtual void start_stream(int status, http_headers headers) = 0;

    /// Sends a part of a streamed body.
    virtual void send_chunk(std::string_view bytes) = 0;

    /// Ends a streamed body.
    virtual void finish_stream() = 0;

    /// Whether the stream of the request is still open.
    virtual bool is_open() const = 0;

    /// Body bytes that have not been passed to the HTTP/2 session yet.
    virtual std::size_t backlog() const = 0;

    /// Sets a callback that runs once if the stream closes before the response
    /// is complete.
    virtual void on_abandoned(std::function<void()> callback) = 0;

    /// The remote endpoint of the connection.
    virtual endpoint peer() const = 0;
};

/// Serves HTTP/2 without TLS (prior knowledge) on one endpoint.
class http2_server
{
public:
    using handler =
        std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    /// Starts to listen; error_kind::unavailable if the endpoint cannot be
    /// bound.
    static result<std::unique_ptr<http2_server>>
    listen(main_loop& loop, const endpoint& local, handler handle);

    /// Closes all connections; open exchanges are abandoned.
    ~http2_server();

    /// The bound endpoint.
    endpoint local_endpoint() const;

    /// Accepts no further requests and sends GOAWAY to connected peers.
    void stop_accepting();

    /// Requests whose response is not complete.
    std::size_t open_exchanges() const;

private:
    struct implementation;
    explicit http2_server(std::unique_ptr<implementation> implementation);
    std::unique_ptr<implementation> implementation_;
};

} // namespace boragestand::transport
