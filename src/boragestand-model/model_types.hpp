#pragma once

#include "coordination/coordination.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragestand::model
{

constexpr service_id model_service{1};
constexpr unsigned owner_count = 6;
constexpr unsigned upstream_count = 14;
constexpr std::uint32_t slots_per_upstream = 2;

/// One-way network delays: caller is between callers and entry instances,
/// internal among entry instances and upstreams.
struct network_delays
{
    duration caller{std::chrono::milliseconds(3)};
    duration internal{std::chrono::microseconds(500)};

    auto operator<=>(const network_delays&) const = default;
};

/// A request of a caller; each request opens its own flow.
struct model_request
{
    time_point sent;
    std::uint64_t flow_hash{0};
    bool is_long{false};
    duration service_time{0};
    /// How long the caller keeps the connection open after the response.
    duration open_after_answer{0};
    /// Time after sent by which the caller needs the response; 0 for none.
    duration deadline{0};

    auto operator<=>(const model_request&) const = default;
};

/// The designs that are compared: hashing over the ready upstreams, without or
/// with a flow cache per instance, and flow owners, without or with pins at a
/// backup. The last one is the chosen design.
enum class design_kind
{
    table_only,
    table_and_cache,
    owner_without_backup,
    chosen
};

constexpr design_kind all_designs[] = {
    design_kind::table_only, design_kind::table_and_cache,
    design_kind::owner_without_backup, design_kind::chosen};

/// Returns the name of a design in result lines.
std::string name_of(design_kind kind);

/// Makes the record that the modelled upstream with this index announces.
protocol::upstream_record make_upstream_record(unsigned index);

/// Makes a configuration that contains model_service only.
state::configuration model_configuration();

} // namespace boragestand::model
