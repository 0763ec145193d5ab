#pragma once

#include "state/state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragestand::coordination
{

/// Requests the next page of the newest plan. Positions, parts and digests are
/// those of state/plan_digest.hpp. A control instance keeps nothing about a
/// transfer: any other one can answer the next request.
struct plan_request
{
    std::uint64_t version{0}; ///< of the complete plan that the sender holds
    std::uint64_t digest{0};  ///< of that plan
    /// Settings that the sender holds or has received meanwhile.
    std::uint64_t settings_digest{0};
    /// Changes up to this position have arrived; none at the start.
    std::optional<std::uint64_t> after;
    /// Digests of the parts of the sender's routes, with the changes that have
    /// arrived. Not empty: the parts that differ are requested.
    std::vector<std::uint64_t> part_digests;

    auto operator<=>(const plan_request&) const = default;
};

/// Changes of routes since the version of the request, in order of position.
struct plan_changes
{
    std::vector<std::string> routes;    ///< by state::encode_route()
    std::vector<std::uint64_t> removed; ///< positions
    /// Further changes follow this position; none: this page is the last.
    std::optional<std::uint64_t> next;

    auto operator<=>(const plan_changes&) const = default;
};

/// All routes of one part of the plan.
struct plan_part
{
    std::uint32_t index{0};
    std::vector<std::string> routes; ///< by state::encode_route()

    auto operator<=>(const plan_part&) const = default;
};

/// Parts that differ from the digests of the request; the first ones if all do
/// not fit into a page.
struct plan_parts
{
    std::vector<plan_part> parts;

    auto operator<=>(const plan_parts&) const = default;
};

/// The changes since the version of the request are not known; they are found
/// by a request with the digests of this many parts.
struct plan_comparison
{
    std::uint32_t part_count{1};

    auto operator<=>(const plan_comparison&) const = default;
};

/// One page of a plan.
struct plan_page
{
    std::uint64_t version{0}; ///< newest version of the sender
    std::uint64_t digest{0};  ///< of the whole plan with that version
    /// By state::encode_settings(), if they differ from the request's.
    std::optional<std::string> settings;
    std::variant<plan_changes, plan_parts, plan_comparison> content;

    auto operator<=>(const plan_page&) const = default;
};

/// Most routes of one page: about 5 KB, 20 ms on a link of 2 Mbit/s. Other
/// answers on the connection wait no longer than that.
constexpr std::size_t plan_page_routes = 256;

/// Encode a message with msgpack; large pages are compressed.
std::string encode_message(const plan_request& message);
std::string encode_message(const plan_page& message);

/// Decode what encode_message() wrote; error_kind::malformed_message
/// otherwise.
result<plan_request> decode_plan_request(std::string_view bytes);
result<plan_page> decode_plan_page(std::string_view bytes);

} // namespace boragestand::coordination
