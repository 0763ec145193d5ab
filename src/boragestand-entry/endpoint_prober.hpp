#pragma once

#include "coordination/coordination.hpp"
#include "transport/transport.hpp"
#include "upstream_announcement.hpp"

#include <functional>
#include <map>
#include <memory>

namespace boragestand::entry
{

/// Asks the health and load endpoints of the upstreams that announced
/// themselves to this instance, once a second each.
class endpoint_prober
{
public:
    using reporter = std::function<void(coordination::endpoint_report)>;

    endpoint_prober(transport::main_loop& loop,
                    transport::timer_service& timers, reporter report);

    /// Starts or changes the probes of an upstream. They end when its lease
    /// does.
    void announce(const upstream_announcement& announcement);

    /// Ends the probes of an upstream.
    void withdraw(service_id service, upstream_id upstream);

private:
    using key = std::pair<service_id, upstream_id>;

    struct probed
    {
        std::optional<probe_target> health;
        std::optional<probe_target> load;
        time_point lease_end;
        std::unique_ptr<transport::http2_client> health_client;
        std::unique_ptr<transport::http2_client> load_client;
        coordination::endpoint_report last;
    };

    void probe_all(time_point now);
    void ask_health(const key& upstream, probed& state);
    void ask_load(const key& upstream, probed& state);
    void health_answered(const key& upstream, bool healthy);
    void load_answered(const key& upstream, const std::string& body);

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    reporter report_;
    std::map<key, probed> upstreams_;
    transport::subscription timer_;
};

} // namespace boragestand::entry
