#pragma once

#include "transport/transport.hpp"

#include <optional>

namespace boragestand::fleet
{

/// Keeps the response to one request.
class recorded_exchange final : public transport::http_exchange
{
public:
    void respond(transport::http_response response) override
    {
        response_ = std::move(response);
    }
    void start_stream(int, transport::http_headers) override {}
    void send_chunk(std::string_view) override {}
    void finish_stream() override {}
    bool is_open() const override { return !response_; }
    std::size_t backlog() const override { return 0; }
    void on_abandoned(std::function<void()>) override {}
    transport::endpoint peer() const override { return {}; }

    const std::optional<transport::http_response>& response() const
    {
        return response_;
    }

private:
    std::optional<transport::http_response> response_;
};

} // namespace boragestand::fleet
