#pragma once

#include "coordination/traffic_types.hpp"

#include <memory>
#include <memory_resource>
#include <optional>
#include <unordered_map>
#include <vector>

namespace boragestand::coordination
{

/// Limits of the rule that decides which flows occupy a slot.
struct running_limits
{
    /// A flow that has shown no answer bytes for this long since its SYN is
    /// taken for idle.
    duration silent_limit{std::chrono::seconds(1)};
    /// A flow whose answer bytes have stopped for this long is taken for idle.
    /// Longer than a delayed acknowledgement.
    duration pause_limit{std::chrono::milliseconds(200)};
    /// A flow that was taken for idle occupies a slot again after its answer
    /// bytes have come for this long; single requests on a kept connection do
    /// not count.
    duration resume_limit{std::chrono::milliseconds(500)};

    auto operator<=>(const running_limits&) const = default;
};

/// A flow that occupies a slot, or that has come back from being idle.
struct running_flow
{
    upstream_id upstream;
    time_point since;
    time_point last_progress;
    std::uint16_t share{0}; ///< share rule that counts it, 0 for none
    bool counted{false};    ///< occupies a slot
    bool is_long{false};
    bool answered{false};
    bool resumed{false};

    auto operator<=>(const running_flow&) const = default;
};

/// Flows of one service that are thought to occupy a slot of their upstream.
///
/// The owner sees only the caller's packets. A flow counts from its SYN until
/// it ends, or until its acknowledgements stop advancing (pause_limit), or
/// until it has shown no answer at all for silent_limit. A count that is wrong,
/// because packets or events were lost, therefore corrects itself within
/// silent_limit. If most flows become idle instead of ending, they hold
/// connections rather than slots, and slots_bind() tells that slots do not
/// limit new flows.
class running_flows
{
public:
    explicit running_flows(const running_limits& limits);

    /// Changes the limits, which depend on the service.
    void set_limits(const running_limits& limits) { limits_ = limits; }

    /// A flow was placed.
    void start(std::uint64_t flow_hash, const running_flow& flow);

    /// Answer bytes arrived at the caller. Returns the flow if it occupies a
    /// slot from now on.
    std::optional<running_flow> progress(std::uint64_t flow_hash,
                                         upstream_id upstream, bool is_long,
                                         time_point now);

    /// The flow is long from now on. Returns it if it occupies a slot and was
    /// not long before.
    std::optional<running_flow> become_long(std::uint64_t flow_hash);

    /// The flow ended. Returns it if it occupied a slot.
    std::optional<running_flow> end(std::uint64_t flow_hash);

    /// Takes out flows that became idle; returns those that occupied a slot.
    std::vector<running_flow> take_idle(time_point now);

    /// Whether the flows of the service occupy slots while they are open.
    bool slots_bind() const { return idle_share_ < 0.5; }

    /// Flows in the table.
    std::size_t size() const { return flows_.size(); }

private:
    void learn(const running_flow& flow, bool became_idle);

    running_limits limits_;
    // A pool, since flows come and go on the packet path.
    std::unique_ptr<std::pmr::unsynchronized_pool_resource> pool_;
    std::pmr::unordered_map<std::uint64_t, running_flow> flows_;
    double idle_share_{0};
};

} // namespace boragestand::coordination
