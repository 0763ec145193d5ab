#pragma once

#include "traffic/token_router_types.hpp"

#include <optional>
#include <unordered_map>

namespace boragestand::traffic
{

/// Load and health of one upstream over all entry instances.
struct joined_load
{
    double busy{0};    ///< requests in progress on average
    double answers{0}; ///< in a report, on average
    double answer_ms{0};
    double failing{0}; ///< share of the requests without an answer

    auto operator<=>(const joined_load&) const = default;
};

/// An upstream as far as its load is compared with that of others.
struct loaded_upstream
{
    routing_token token{0};
    std::uint32_t slots{1};

    auto operator<=>(const loaded_upstream&) const = default;
};

/// Time that an upstream works on a request, in ms. Answers take longer while
/// requests wait for its slots; by Little's law the wait makes up for the
/// requests in progress beyond the slots. Otherwise each upstream with a queue
/// would be taken for slow.
double service_ms(const joined_load& load, std::uint32_t slots);

/// An entry instance's view of the load of all upstreams, from the aggregates
/// that control instances join. Each aggregate counts as much as all before it
/// together, so that a change shows within two of them. A view that gets no
/// more aggregates is of no use after max_age and then says so.
class upstream_load
{
public:
    static constexpr duration max_age = std::chrono::seconds(3);

    /// Takes an aggregate. Returns false if it is late and was ignored.
    bool apply(const coordination::evidence_report& aggregate, time_point now);

    /// Time since the last aggregate; none before the first.
    std::optional<duration> age(time_point now) const;

    /// Whether an aggregate is recent enough to be used.
    bool is_usable(time_point now) const;

    /// Load of an upstream; zeros if nothing is known of it.
    joined_load of(routing_token upstream) const;

    /// Load of an upstream of which something is known, or null.
    const joined_load* find(routing_token upstream) const;

private:
    std::unordered_map<routing_token, joined_load> loads_;
    std::optional<time_point> updated_;
    std::uint64_t writer_{0};
    std::uint64_t sequence_{0};
};

} // namespace boragestand::traffic
