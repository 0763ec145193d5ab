#pragma once

#include "state/state.hpp"
#include "transport/transport.hpp"

#include <memory>
#include <vector>

namespace boragestand::control
{

/// Streams the configuration to entry instances: first a snapshot or the deltas
/// after the receiver's revision, then each new delta, and an empty frame once
/// a second as keepalive.
class configuration_streams
{
public:
    explicit configuration_streams(transport::timer_service& timers);

    /// Starts a stream to a receiver that holds the revision given by after.
    void add(std::shared_ptr<transport::http_exchange> exchange,
             std::uint64_t after, const state::control_state& state);

    /// Sends all receivers the updates they do not have yet.
    void publish(const state::control_state& state);

    /// Ends all streams.
    void finish();

private:
    struct receiver
    {
        std::shared_ptr<transport::http_exchange> exchange;
        std::uint64_t revision{0};
    };

    static void send(receiver& target, const state::control_state& state);
    void keep_alive();

    std::vector<receiver> receivers_;
    transport::subscription timer_;
};

} // namespace boragestand::control
