#pragma once

#include "coordination/coordination.hpp"
#include "transport/transport.hpp"
#include "upstream_announcement.hpp"

#include <functional>
#include <map>
#include <memory>

namespace boragestand::entry
{

/// Probes the health and load endpoints of the upstreams that announced
/// themselves to this instance, each once a second.
class endpoint_prober
{
public:
    using reporter = std::function<void(coordination::endpoint_report)>;

    endpoint_prober(transport::main_loop& loop,
                    transport::timer_service& timers, reporter report);

    /// Starts or updates the probes of an upstream. They end when its lease
    /// expires.
    void announce(const upstream_announcement& announcement);

    /// Stops the probes of an upstream.
    void withdraw(service_id service, upstream_id upstream);

private:
    using key = std::pair<service_id, upstream_id>;

    struct probe_state
    {
        std::optional<probe_target> health;
        std::optional<probe_target> load;
        time_point lease_end;
        std::unique_ptr<transport::http2_client> health_client;
        std::unique_ptr<transport::http2_client> load_client;
        coordination::endpoint_report last;
    };

    void probe_all(time_point now);
    void probe_health(const key& upstream, probe_state& state);
    void probe_load(const key& upstream, probe_state& state);
    void handle_health_answer(const key& upstream, bool healthy);
    void handle_load_answer(const key& upstream, const std::string& body);

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    reporter report_;
    std::map<key, probe_state> upstreams_;
    transport::subscription timer_;
};

} // namespace boragestand::entry
