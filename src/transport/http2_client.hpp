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

/// Some round trips between data centres. The kernel would repeat a lost
/// opening packet only after a second.
constexpr duration default_connect_timeout = std::chrono::milliseconds(300);

/// An HTTP/2 connection without TLS to one endpoint. Connects when it is first
/// used and again after a loss; requests in flight at a loss fail with
/// error_kind::unavailable and are not sent again.
class http2_client
{
public:
    using response_callback = std::function<void(result<http_response>)>;

    /// Callbacks of a streamed response.
    struct stream_callbacks
    {
        std::function<void(int status)> on_headers;
        std::function<void(std::string_view bytes)> on_chunk;
        /// Called once at the end; an error if the stream was cut.
        std::function<void(result<void>)> on_end;
    };

    /// A connection that does not open within connect_timeout is given up.
    http2_client(main_loop& loop, timer_service& timers, const endpoint& remote,
                 duration connect_timeout = default_connect_timeout);

    /// Closes the connection; callbacks of open requests do not run.
    ~http2_client();

    /// Sends a request; the callback runs once, with error_kind::timeout if no
    /// whole response came in time.
    void request(http_request request, duration timeout,
                 response_callback callback);

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
