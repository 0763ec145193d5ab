#pragma once

#include "state/state.hpp"
#include "transport/transport.hpp"

#include <memory>
#include <vector>

namespace boragestand::control
{

/// Streams of the configuration to entry instances: a snapshot or deltas after
/// the revision that the receiver holds, then each new delta, and an empty
/// frame once a second.
class configuration_streams
{
public:
    explicit configuration_streams(transport::timer_service& timers);

    /// Starts a stream to a receiver that holds a revision.
    void add(std::shared_ptr<transport::http_exchange> exchange,
             std::uint64_t after, const state::control_state& state);

    /// Sends what is new to all receivers.
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
