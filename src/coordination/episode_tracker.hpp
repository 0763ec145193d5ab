#pragma once

#include "coordination/traffic_types.hpp"

#include <optional>
#include <string>

namespace boragestand::coordination
{

/// Interval at which an unacknowledged request is repeated.
constexpr duration request_repeat_interval = std::chrono::seconds(2);

/// Time without overload after which an episode ends.
constexpr duration episode_quiet_time = std::chrono::seconds(30);

/// Creates the requests that wake the director about one service. An episode is
/// a period in which flows wait too long or are dropped for lack of slots; each
/// episode creates one request.
class episode_tracker
{
public:
    episode_tracker(instance_id self, service_id service);

    /// Records that flows waited past the limit or were dropped. Starts an
    /// episode if none is open.
    void record_overload(const char* reason, time_point now,
                         wall_time wall_now);

    /// Ends the open episode if no overload was recorded recently.
    void advance(time_point now);

    /// The request to send or repeat now, if there is one.
    std::optional<director_request> due_request(time_point now);

    /// Stops repeating the request if it belongs to the open episode.
    void acknowledge(std::uint64_t episode);

    /// Whether an episode is open.
    bool is_open() const { return request_.has_value(); }

private:
    instance_id self_;
    service_id service_;
    std::optional<director_request> request_;
    bool acknowledged_{false};
    time_point next_send_;
    time_point last_overload_;
};

} // namespace boragestand::coordination
