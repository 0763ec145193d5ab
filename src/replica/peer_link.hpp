#pragma once

#include "agreement/agreement.hpp"
#include "transport/transport.hpp"

#include <map>
#include <memory>

namespace boragestand::replica
{

/// Sends messages to other control instances, one HTTP/2 connection to each.
/// Messages may be lost; the algorithm repeats them.
class peer_link
{
public:
    peer_link(transport::main_loop& loop, transport::timer_service& timers);

    /// Sends an agreement message.
    void send(const agreement::send_message& message);

    /// Sends any request.
    void request(const transport::endpoint& address,
                 transport::http_request request, duration timeout,
                 transport::http2_client::response_callback callback);

private:
    struct peer
    {
        std::unique_ptr<transport::http2_client> client;
        std::size_t unanswered{0}; ///< messages without an answer
    };

    peer& peer_at(const transport::endpoint& address);

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    std::map<transport::endpoint, peer> peers_;
};

} // namespace boragestand::replica
