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

/// A wish of an entry instance to wake the director.
struct director_wish
{
    std::uint32_t instance{0};
    std::string service;
    std::uint64_t episode{0};
    std::string reason;

    /// Whether both are about one episode; the reason may differ.
    bool operator<(const director_wish& other) const
    {
        return std::tie(instance, service, episode) <
               std::tie(other.instance, other.service, other.episode);
    }
};

/// Wakes the director: one request for each episode, repeated until it is
/// acknowledged.
class director_requests
{
public:
    director_requests(const transport::endpoint& director, std::string path,
                      transport::timer_service& timers,
                      replica::peer_link& peers, control_log& log);

    /// Passes a wish on; the exchange is answered once the director has
    /// acknowledged.
    void add(const director_wish& wish,
             const std::shared_ptr<transport::http_exchange>& exchange);

private:
    struct open_wish
    {
        std::vector<std::shared_ptr<transport::http_exchange>> waiting;
        bool in_flight{false};
    };

    void send(const director_wish& wish);
    void acknowledged(const director_wish& wish);
    void send_again();

    transport::endpoint director_;
    std::string path_;
    replica::peer_link& peers_;
    control_log& log_;
    std::map<director_wish, open_wish> open_;
    std::set<director_wish> done_;
    std::deque<director_wish> done_order_;
    transport::subscription timer_;
};

} // namespace boragestand::control
