#pragma once

#include "state/state.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace boragestand::coordination
{

/// Agreements of directors to refuse callers of one service, and their use by
/// this instance. Nothing else may lead to a refusal.
class refusal_ledger
{
public:
    /// Replaces the agreements; the use of those that stay is kept.
    void apply(std::vector<state::refusal_agreement> agreements);

    /// Uses one refusal of an agreement that covers the rule (empty: flows that
    /// found no slot), has not expired and is within its limit for the last 60
    /// seconds. Returns its identity, or empty if there is none.
    std::optional<std::uint64_t> take(std::string_view rule, time_point now,
                                      wall_time wall_now);

private:
    std::vector<state::refusal_agreement> agreements_;
    std::map<std::uint64_t, std::deque<time_point>> used_;
};

} // namespace boragestand::coordination
