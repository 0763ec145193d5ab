#pragma once

#include "state/state.hpp"

#include <string>

namespace boragestand::state
{

constexpr wall_time test_time{std::chrono::hours(24 * 365 * 50)};

/// A note that adds a service and a rule that refuses callers.
inline const std::string first_note = R"(number: 1
added:
  services:
    - {name: desk, address: 10.0.0.1:443, protocol: tcp}
    - {name: maps, address: 10.0.0.2:443, protocol: tcp, work: long}
  rules:
    - {name: far, service: desk, source: 10.9.0.0/16, action: refuse}
    - {name: half, service: desk, action: share, share_percent: 50}
)";

inline command make_command(std::string client, std::uint64_t sequence,
                            command_action action,
                            wall_time proposed = test_time)
{
    return {{std::move(client), sequence}, proposed, std::move(action)};
}

/// The outcome as this alternative; fails the test if it is another one.
template <typename Outcome>
Outcome expect_outcome(const command_outcome& outcome)
{
    const auto* expected = std::get_if<Outcome>(&outcome);
    EXPECT_NE(expected, nullptr)
        << "outcome is alternative " << outcome.index();
    return expected == nullptr ? Outcome{} : *expected;
}

inline error_kind failure_kind_of(const command_outcome& outcome)
{
    return error_kind_of(outcome).value_or(error_kind::internal);
}

} // namespace boragestand::state
