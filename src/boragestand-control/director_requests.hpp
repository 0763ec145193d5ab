#pragma once

#include "control_log.hpp"
#include "replica/replica.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace boragestand::control
{

/// A request of an entry instance to wake the director.
struct director_wake_request
{
    std::uint32_t instance{0};
    std::string service;
    std::uint64_t episode{0};
    std::string reason;

    /// Orders by episode; the reason is ignored.
    bool operator<(const director_wake_request& other) const
    {
        return std::tie(instance, service, episode) <
               std::tie(other.instance, other.service, other.episode);
    }
};

/// Sends the director one request per episode and repeats it until the director
/// acknowledges it.
class director_requests
{
public:
    director_requests(const transport::endpoint& director, std::string path,
                      transport::timer_service& timers,
                      replica::peer_link& peers, control_log& log);

    /// Forwards a request. The exchange is answered after the director has
    /// acknowledged it.
    void add(const director_wake_request& request,
             const std::shared_ptr<transport::http_exchange>& exchange);

private:
    struct pending_request
    {
        std::vector<std::shared_ptr<transport::http_exchange>> waiting;
        bool in_flight{false};
    };

    void send(const director_wake_request& request);
    void handle_acknowledgement(const director_wake_request& request);
    void retry_pending();

    transport::endpoint director_;
    std::string path_;
    replica::peer_link& peers_;
    control_log& log_;
    std::map<director_wake_request, pending_request> pending_;
    std::set<director_wake_request> acknowledged_;
    std::deque<director_wake_request> acknowledged_order_;
    transport::subscription timer_;
};

} // namespace boragestand::control
