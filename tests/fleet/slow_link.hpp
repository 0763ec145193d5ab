#pragma once

#include "transport/tcp_listener.hpp"
#include "transport/transport.hpp"

#include <list>
#include <string>

namespace boragestand::fleet
{

/// A TCP relay that passes the answers of an instance on at the rate of a slow
/// link, which all its connections share.
class slow_link
{
public:
    /// Relays to an instance at a rate in bytes per second.
    slow_link(transport::main_loop& loop, transport::timer_service& timers,
              const transport::endpoint& remote, double rate);

    /// Where the relay listens.
    transport::endpoint local_endpoint() const
    {
        return listener_.local_endpoint();
    }

    /// Closes all connections.
    void cut_connections() { connections_.clear(); }

    /// Bytes of answers that were passed on.
    std::size_t relayed_bytes() const { return relayed_; }

private:
    struct connection
    {
        transport::unique_fd caller;
        transport::unique_fd instance;
        std::string requests; ///< read, not yet passed on
        std::string answers;
        bool ended{false};
    };

    void accept(transport::unique_fd caller);
    void relay(time_point now);

    transport::endpoint remote_;
    double rate_;
    double budget_{0};
    time_point last_tick_;
    std::size_t relayed_{0};
    transport::tcp_listener listener_;
    std::list<connection> connections_;
    transport::subscription ticks_;
};

} // namespace boragestand::fleet
