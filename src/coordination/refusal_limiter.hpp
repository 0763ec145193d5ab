#pragma once

#include "state/state.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace boragestand::coordination
{

/// Refusal agreements of directors for one service, and how often this instance
/// has used each. A caller is refused only under such an agreement.
class refusal_limiter
{
public:
    /// Replaces the agreements. Those that remain keep their usage.
    void apply(std::vector<state::refusal_agreement> agreements);

    /// Uses one refusal of an agreement that covers the rule (an empty name
    /// covers flows that found no slot), has not expired and is below its limit
    /// for the last 60 seconds. Returns the identity of the agreement, or empty
    /// if none applies.
    std::optional<std::uint64_t> acquire(std::string_view rule, time_point now,
                                         wall_time wall_now);

private:
    std::vector<state::refusal_agreement> agreements_;
    std::map<std::uint64_t, std::deque<time_point>> used_;
};

} // namespace boragestand::coordination
