#pragma once

#include "traffic/recovery_pace.hpp"

#include <span>
#include <variant>

namespace boragestand::traffic
{

/// An upstream that may get a new flow.
struct selection_candidate
{
    std::uint64_t id{0};
    routing_token token{0};
    std::uint32_t slots{1};
    double cost{0};               ///< by what this instance has seen alone
    std::uint32_t in_progress{0}; ///< requests of this instance
    bool remote{false};           ///< in another data centre
    bool suspect{false};          ///< silent to this instance
    bool avoided{false}; ///< has already left this flow's SYN unanswered

    auto operator<=>(const selection_candidate&) const = default;
};

/// What a selection was based on.
enum class selection_basis : std::uint8_t
{
    own_flows,  ///< the flows that this instance has opened
    joined_load ///< load and health over all entry instances
};

/// Name of a basis for logs.
std::string_view to_text(selection_basis basis);

/// The upstream that was selected and why.
struct selection
{
    std::size_t index{0}; ///< among the candidates
    selection_basis basis{selection_basis::own_flows};
    double busy{0};    ///< its requests in progress over all instances
    double failing{0}; ///< its share of requests without an answer
    double share{1};   ///< of its slow start

    auto operator<=>(const selection&) const = default;
};

/// Selects the upstream with the lowest cost. For instances that each see a
/// good part of the load of an upstream.
struct select_by_own_flows
{
    static constexpr selection_basis basis = selection_basis::own_flows;
};

/// Selects with a probability that falls with the load of an upstream over all
/// entry instances. For many instances, each of which sees less than one flow
/// of most upstreams, and for demand that exceeds the upstreams of one data
/// centre.
struct select_by_joined_load
{
    const upstream_load* load{nullptr};
    const recovery_pace* pace{nullptr};
};

using selection_policy =
    std::variant<select_by_own_flows, select_by_joined_load>;

/// Selects one of the candidates, none if there are none. Of the same
/// candidates, another flow_hash selects another one in proportion.
std::optional<selection>
select_upstream(const selection_policy& policy,
                std::span<const selection_candidate> candidates,
                std::uint64_t flow_hash);

/// Median service time of upstreams that are not recovering, in ms; 0 if there
/// are none.
double usual_service_ms(const upstream_load& load, const recovery_pace& pace,
                        std::span<const loaded_upstream> upstreams);

/// How much of its part an upstream gets by its health and speed, from 0 to 1.
double quality_of(const joined_load& load, std::uint32_t slots,
                  double usual_ms);

/// Upstreams with less quality than this are suspects.
constexpr double suspect_quality = 0.5;

} // namespace boragestand::traffic
