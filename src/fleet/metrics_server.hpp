#pragma once

#include "transport/transport.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boragestand::fleet
{

/// Answers GET /metrics at an address with what describe() returns. Nothing is
/// served, and null returned, if the address is empty. Errors as of
/// transport::http1_server::listen and transport::parse_endpoint.
result<std::unique_ptr<transport::http1_server>>
serve_metrics(transport::main_loop& loop, transport::timer_service& timers,
              const std::string& address,
              std::function<std::string()> make_text);

} // namespace boragestand::fleet
