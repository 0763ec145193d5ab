#pragma once

#include "coordination/traffic_types.hpp"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace boragestand::coordination
{

/// A new flow that waits for a slot.
struct queued_flow
{
    flow_arrival arrival;
    std::uint16_t share{0}; ///< share rule that limits it, 0 for none
    time_point since;
    time_point deadline;

    auto operator<=>(const queued_flow&) const = default;
};

/// Held flows of one service. Short work goes first, except that work which has
/// waited for the aging limit goes in the order of its arrival. Flows of
/// different share rules wait in lanes of their own, so that a share that is
/// used up blocks no other flow. All changes are O(log n).
class hold_queue
{
public:
    explicit hold_queue(duration aging_limit);

    /// Adds a flow unless the queue holds as many as capacity.
    bool push(const queued_flow& flow, std::size_t capacity);

    /// Takes a flow out; empty if it is not held.
    std::optional<queued_flow> cancel(hold_ticket ticket);

    /// The first flow of each lane in the order in which they are to be tried.
    std::vector<queued_flow> heads(time_point now) const;

    /// Whether a flow that would go before or with a new one of this kind
    /// waits, so that the new one has to wait behind it.
    bool must_wait(bool is_long, std::uint16_t share, time_point now) const;

    /// Takes the flow with the earliest deadline if that has passed.
    std::optional<queued_flow> take_expired(time_point now);

    /// Longest wait so far of a held flow that no share rule limits.
    duration longest_wait(time_point now) const;

    std::size_t size() const { return places_.size(); }
    bool empty() const { return places_.empty(); }

private:
    struct lane_key
    {
        bool is_long{false};
        std::uint16_t share{0};

        auto operator<=>(const lane_key&) const = default;
    };

    using lane = std::list<queued_flow>;

    struct place
    {
        lane_key key;
        lane::iterator position;
    };

    bool precedes(const queued_flow& left, const queued_flow& right,
                  time_point now) const;

    duration aging_limit_;
    std::map<lane_key, lane> lanes_;
    std::unordered_map<std::uint64_t, place> places_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_;
};

} // namespace boragestand::coordination
