#pragma once

#include "traffic/token_router_types.hpp"

#include <unordered_map>

namespace boragestand::traffic
{

/// A request of a caller within a flow, as far as its packets show it.
struct request_progress
{
    bool running{false};
    bool reported{false};             ///< counted as unanswered already
    time_point since;                 ///< its last new packet of data
    std::optional<std::uint32_t> end; ///< sequence after its last data
    std::uint32_t acknowledged{0};    ///< by the caller when it began

    auto operator<=>(const request_progress&) const = default;
};

/// Measures upstreams on the packets of callers that pass this instance, whose
/// answers do not. A request is in progress from a packet with new data until
/// the caller acknowledges new bytes, so that a flow that is kept open counts
/// only while a request runs in it. Reads no clock.
class load_tracker
{
public:
    /// A request without an answer for this long is reported as unanswered,
    /// once: callers send again after it, and upstreams answer in a fraction.
    static constexpr duration answer_limit = std::chrono::milliseconds(1000);

    /// Follows a packet of an open flow.
    void follow(request_progress& progress, routing_token upstream,
                const token_packet& packet, time_point now);

    /// Reports a request that has waited for long; to be called now and then.
    void check(request_progress& progress, routing_token upstream,
               time_point now);

    /// The flow ends or is forgotten.
    void end(request_progress& progress, routing_token upstream,
             time_point now);

    /// A SYN was not answered.
    void add_unanswered(routing_token upstream)
    {
        ++counts_[upstream].unanswered;
    }

    /// Requests in progress at an upstream.
    std::uint32_t in_progress(routing_token upstream) const;

    /// What was measured since the last call.
    std::vector<coordination::upstream_evidence> take(time_point now);

private:
    struct counts
    {
        std::uint32_t running{0};
        time_point changed; ///< last change of running
        duration busy{0};   ///< sum of the times of all requests
        std::uint32_t answers{0};
        duration answer_time{0};
        std::uint32_t unanswered{0};
    };

    void change_running(counts& target, int difference, time_point now) const;

    std::unordered_map<routing_token, counts> counts_;
    time_point interval_start_{};
};

} // namespace boragestand::traffic
