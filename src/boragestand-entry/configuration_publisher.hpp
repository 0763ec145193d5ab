#pragma once

#include "coordination/coordination.hpp"
#include "transport/transport.hpp"

#include <memory>
#include <vector>

namespace boragestand::entry
{

/// Streams the configuration of this instance to peers, so that peers without a
/// connection to a control instance receive it too.
class configuration_publisher
{
public:
    explicit configuration_publisher(transport::timer_service& timers);

    /// Adds a peer that holds the given revision.
    void subscribe(std::shared_ptr<transport::http_exchange> exchange,
                   std::uint64_t after);

    /// Sends a newer configuration to all subscribers.
    void publish(std::shared_ptr<const state::configuration> configuration);

private:
    void send_to(transport::http_exchange& exchange);
    void send_keepalives();

    std::shared_ptr<const state::configuration> current_;
    std::vector<std::shared_ptr<transport::http_exchange>> subscribers_;
    transport::subscription timer_;
};

} // namespace boragestand::entry
