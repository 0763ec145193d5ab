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
    time_point queued_since;
    time_point deadline;

    auto operator<=>(const queued_flow&) const = default;
};

/// Priority queue of the held flows of one service. Short work has priority;
/// flows that have waited for the aging limit precede all others, in order of
/// arrival. Each share rule has lanes of its own, so that an exhausted share
/// does not block other flows. All changes are O(log n).
class hold_queue
{
public:
    explicit hold_queue(duration aging_limit);

    /// Adds a flow. Returns false if the queue holds capacity flows already, or
    /// one with this ticket.
    bool push(const queued_flow& flow, std::size_t capacity);

    /// Removes and returns a flow; empty if it is not held.
    std::optional<queued_flow> cancel(hold_ticket ticket);

    /// The first flow of each lane, by descending priority.
    std::vector<queued_flow> lane_heads(time_point now) const;

    /// Whether a flow of the same or a higher priority is waiting, so that a
    /// new flow of this kind has to queue behind it.
    bool must_wait(bool is_long, std::uint16_t share, time_point now) const;

    /// Removes and returns the flow with the earliest deadline if that has
    /// passed.
    std::optional<queued_flow> take_expired(time_point now);

    /// Longest wait so far among held flows without a share rule.
    duration longest_wait(time_point now) const;

    std::size_t size() const { return positions_.size(); }
    bool empty() const { return positions_.empty(); }

private:
    struct lane_key
    {
        bool is_long{false};
        std::uint16_t share{0};

        auto operator<=>(const lane_key&) const = default;
    };

    using lane = std::list<queued_flow>;

    struct queue_position
    {
        lane_key key;
        lane::iterator position;
    };

    bool precedes(const queued_flow& left, const queued_flow& right,
                  time_point now) const;

    duration aging_limit_;
    std::map<lane_key, lane> lanes_;
    std::unordered_map<std::uint64_t, queue_position> positions_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_;
};

} // namespace boragestand::coordination
