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

/// One-way delays between callers, entry instances and upstreams.
struct network_delays
{
    duration caller{std::chrono::milliseconds(3)};
    duration inside{std::chrono::microseconds(500)};

    auto operator<=>(const network_delays&) const = default;
};

/// A request of a caller with a flow of its own.
struct model_request
{
    time_point sent;
    std::uint64_t flow_hash{0};
    bool is_long{false};
    duration service_time{0};
    /// How long the caller keeps the connection open after the answer.
    duration open_after_answer{0};
    /// The answer is worthless later than this after sent; 0 for no limit.
    duration deadline{0};

    auto operator<=>(const model_request&) const = default;
};

/// The designs that are compared.
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

/// Name of a design in results.
std::string name_of(design_kind kind);

/// The record that a modelled upstream announces.
protocol::upstream_record record_of(unsigned index);

/// The configuration that holds model_service only.
state::configuration model_configuration();

} // namespace boragestand::model
