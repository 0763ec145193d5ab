#include "fleet/metrics_server.hpp"

namespace boragestand::fleet
{

namespace
{

// A scraper needs one connection; a few more can be open at a time.
constexpr std::size_t metrics_connections = 8;

} // namespace

result<std::unique_ptr<transport::http1_server>>
serve_metrics(transport::main_loop& loop, transport::timer_service& timers,
              const std::string& address,
              std::function<std::string()> make_text)
{
    if (address.empty())
    {
        return std::unique_ptr<transport::http1_server>{};
    }
    const auto endpoint = transport::parse_endpoint(address);
    if (!endpoint)
    {
        return tl::unexpected(endpoint.error());
    }
    return transport::http1_server::listen(
        loop, timers, *endpoint, {.max_connections = metrics_connections},
        [make_text = std::move(make_text)](
            const transport::http_request& request, const transport::endpoint&,
            const transport::http1_server::responder& respond)
        {
            const bool known =
                request.method == "GET" && request.path == "/metrics";
            respond({.status = known ? 200 : 404,
                     .headers = {{"content-type", "text/plain; version=0.0.4"}},
                     .body = known ? make_text() : std::string()});
        });
}

} // namespace boragestand::fleet
