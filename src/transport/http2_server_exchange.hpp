#pragma once

#include "transport/http2_body.hpp"
#include "transport/http2_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace boragestand::transport
{

class http2_server_connection;

/// The response to one request of an http2_server_connection.
class http2_server_exchange final : public http_exchange
{
public:
    http2_server_exchange(std::weak_ptr<http2_server_connection> connection,
                          std::int32_t stream, endpoint peer);

    void respond(http_response response) override;
    void start_stream(int status, http_headers headers) override;
    void send_chunk(std::string_view bytes) override;
    void finish_stream() override;
    bool is_open() const override;
    std::size_t backlog() const override { return body_.size(); }
    void on_abandoned(std::function<void()> callback) override;
    endpoint peer() const override { return peer_; }

    /// The body for nghttp2 to read.
    http2_body& body() { return body_; }

    /// Handles the end of the stream. Runs the callback of on_abandoned() if
    /// the response was not complete.
    void close();

private:
    std::weak_ptr<http2_server_connection> connection_;
    std::int32_t stream_;
    endpoint peer_;
    http2_body body_;
    bool started_{false};
    bool closed_{false};
    std::function<void()> abandoned_callback_;
};

} // namespace boragestand::transport
