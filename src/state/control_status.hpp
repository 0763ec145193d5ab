#pragma once

#include "base/base.hpp"

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::state
{

/// A control instance as the group knows it.
struct status_member
{
    instance_id id;
    std::string http;
    bool voter{true}; ///< false for a learner

    auto operator<=>(const status_member&) const = default;
};

/// An entry instance and what it last reported.
struct status_entry
{
    instance_id id;
    std::string name;
    std::uint64_t revision{0};
    /// Milliseconds since the last report; nothing if there was none.
    std::optional<std::uint64_t> age_ms;

    auto operator<=>(const status_entry&) const = default;
};

/// The answer of a control instance to GET /v1/status.
struct control_status
{
    instance_id instance;
    std::string role; ///< leader, follower, candidate or learner
    std::uint64_t term{0};
    std::string leader; ///< its HTTP endpoint; empty if none is known
    std::uint64_t commit_index{0};
    std::uint64_t applied_index{0};
    std::uint64_t revision{0};
    std::uint64_t note_number{0};
    std::vector<status_member> members;
    std::vector<status_entry> entries;

    auto operator<=>(const control_status&) const = default;
};

/// The status as JSON, with the field names of the struct.
nlohmann::json to_json(const control_status& status);

/// Reads what to_json writes; error_kind::malformed_message otherwise. Never
/// throws.
result<control_status> control_status_from_json(std::string_view text);

} // namespace boragestand::state
