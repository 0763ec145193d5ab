#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"
#include "transport/http2_message.hpp"
#include "transport/main_loop.hpp"
#include "transport/timer_service.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace boragestand::transport
{

/// Several round trips between data centres. Shorter than the kernel's first
/// retransmission of a lost SYN, which takes a second.
constexpr duration default_connect_timeout = std::chrono::milliseconds(300);

/// An HTTP/2 client without TLS for one endpoint. Connects on the first request
/// and reconnects after the connection was lost; requests in flight then fail
/// with error_kind::unavailable and are not retried.
class http2_client
{
public:
    using response_callback = std::function<void(result<http_response>)>;

    /// What the time-out of a request limits.
    enum class time_limit : std::uint8_t
    {
        whole,  ///< the time until the response is complete
        silence ///< the time without a further byte of the response
    };

    /// Callbacks of a streamed response.
    struct stream_callbacks
    {
        std::function<void(int status)> on_headers;
        std::function<void(std::string_view bytes)> on_chunk;
        /// Called once at the end; an error if the stream ended early.
        std::function<void(result<void>)> on_end;
    };

    /// A connection that is not established within connect_timeout is closed.
    http2_client(main_loop& loop, timer_service& timers, const endpoint& remote,
                 duration connect_timeout = default_connect_timeout);

    /// Closes the connection; callbacks of open requests do not run.
    ~http2_client();

    /// Sends a request. The callback runs once, with error_kind::timeout if the
    /// response is not complete in time.
    void request(http_request request, duration timeout,
                 response_callback callback,
                 time_limit limit = time_limit::whole);

    /// Sends a request whose response body is delivered in parts. The stream
    /// ends when the subscription is destroyed.
    subscription stream(http_request request, stream_callbacks callbacks);

    /// The remote endpoint.
    endpoint remote_endpoint() const;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace boragestand::transport
