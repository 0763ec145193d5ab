#pragma once

#include "coordination/traffic_types.hpp"

#include <optional>
#include <string>

namespace boragestand::coordination
{

/// An unacknowledged request is repeated after this time.
constexpr duration director_repeat = std::chrono::seconds(2);

/// An episode ends when flows have found slots for this long.
constexpr duration episode_quiet_time = std::chrono::seconds(30);

/// Decides when the director is to be woken about one service: once for each
/// episode in which flows wait too long or are dropped for lack of slots.
class director_gate
{
public:
    director_gate(instance_id self, service_id service);

    /// Flows waited past the limit or were dropped. Starts an episode if none
    /// is open.
    void pressure(const char* reason, time_point now, wall_time wall_now);

    /// Ends an episode without recent pressure.
    void advance(time_point now);

    /// The request that is to be sent or repeated now.
    std::optional<director_request> due(time_point now);

    /// Ends the repetition if the episode is the open one.
    void acknowledged(std::uint64_t episode);

    /// Whether an episode is open.
    bool open() const { return request_.has_value(); }

private:
    instance_id self_;
    service_id service_;
    std::optional<director_request> request_;
    bool acknowledged_{false};
    time_point next_send_;
    time_point last_pressure_;
};

} // namespace boragestand::coordination
