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

/// The answer to one request. It may be kept and completed later; if the peer
/// has gone, calls have no effect and is_open() is false.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends a whole response.
    virtual void respond(http_response response) = 0;

    /// Sends response headers and keeps the stream open for send_chunk().
    virtual void start_stream(int status, http_headers headers) = 0;

    /// Sends a part of a streamed body.
    virtual void send_chunk(std::string_view bytes) = 0;

    /// Ends a streamed body.
    virtual void finish_stream() = 0;

    /// Whether the peer still waits for the answer.
    virtual bool is_open() const = 0;

    /// Bytes of the body that the peer has not taken yet.
    virtual std::size_t backlog() const = 0;

    /// Called once when the peer goes before the answer is complete.
    virtual void on_abandoned(std::function<void()> callback) = 0;

    /// Where the request came from.
    virtual endpoint peer() const = 0;
};

/// Serves HTTP/2 without TLS (prior knowledge) on one endpoint.
class http2_server
{
public:
    using handler =
        std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    /// Listens; error_kind::unavailable if the endpoint cannot be bound.
    static result<std::unique_ptr<http2_server>>
    listen(main_loop& loop, const endpoint& local, handler handle);

    /// Closes all connections; open exchanges are abandoned.
    ~http2_server();

    /// The bound endpoint.
    endpoint local_endpoint() const;

    /// Accepts no further requests and tells connected peers (GOAWAY).
    void stop_accepting();

    /// Requests whose answer is not complete.
    std::size_t open_exchanges() const;

private:
    struct implementation;
    explicit http2_server(std::unique_ptr<implementation> implementation);
    std::unique_ptr<implementation> implementation_;
};

} // namespace boragestand::transport
