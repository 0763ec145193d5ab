#pragma once

#include "coordination/traffic_types.hpp"

#include <memory>
#include <memory_resource>
#include <optional>
#include <unordered_map>
#include <vector>

namespace boragestand::coordination
{

/// Timeouts that decide which flows occupy a slot.
struct running_limits
{
    /// A flow without any answer bytes is considered idle this long after its
    /// SYN.
    duration silent_limit{std::chrono::seconds(1)};
    /// A flow is considered idle this long after its last answer bytes. Longer
    /// than a delayed acknowledgement.
    duration pause_limit{std::chrono::milliseconds(200)};
    /// An idle flow occupies a slot again after answer bytes have arrived for
    /// this long, so that single requests on a persistent connection do not
    /// count.
    duration resume_limit{std::chrono::milliseconds(500)};

    auto operator<=>(const running_limits&) const = default;
};

/// A flow that occupies a slot, or that was idle and has become active again.
struct running_flow
{
    upstream_id upstream;
    time_point active_since;
    time_point last_progress;
    std::uint16_t share{0}; ///< share rule that counts it, 0 for none
    bool occupies_slot{false};
    bool is_long{false};
    bool answered{false};
    bool resumed{false};

    auto operator<=>(const running_flow&) const = default;
};

/// Flows of one service that presumably occupy a slot of their upstream.
///
/// The owner sees only the caller's packets. A flow counts from its SYN until
/// it ends, until its acknowledgements stop advancing (pause_limit), or until
/// no answer has arrived for silent_limit. A wrong count caused by lost packets
/// or events therefore corrects itself within silent_limit. If most flows
/// become idle instead of ending, they use connections rather than slots, and
/// slots_limit_flows() returns false.
class running_flows
{
public:
    explicit running_flows(const running_limits& limits);

    /// Changes the limits, which depend on the service.
    void set_limits(const running_limits& limits) { limits_ = limits; }

    /// A flow was placed.
    void start(std::uint64_t flow_hash, const running_flow& flow);

    /// Answer bytes arrived at the caller. Returns the flow if it begins to
    /// occupy a slot.
    std::optional<running_flow> record_progress(std::uint64_t flow_hash,
                                                upstream_id upstream,
                                                bool is_long, time_point now);

    /// Classifies the flow as long. Returns it if it occupies a slot and was
    /// not long before.
    std::optional<running_flow> mark_long(std::uint64_t flow_hash);

    /// The flow ended. Returns it if it occupied a slot.
    std::optional<running_flow> end(std::uint64_t flow_hash);

    /// Removes flows that became idle; returns those that occupied a slot.
    std::vector<running_flow> take_idle_flows(time_point now);

    /// Whether slots limit new flows: most flows end rather than become idle.
    bool slots_limit_flows() const { return idle_share_ < 0.5; }

    std::size_t size() const { return flows_.size(); }

private:
    void update_idle_share(const running_flow& flow, bool became_idle);

    running_limits limits_;
    // A pool, since the packet path adds and removes flows.
    std::unique_ptr<std::pmr::unsynchronized_pool_resource> pool_;
    std::pmr::unordered_map<std::uint64_t, running_flow> flows_;
    double idle_share_{0};
};

} // namespace boragestand::coordination
