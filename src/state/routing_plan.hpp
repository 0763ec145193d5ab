#pragma once

#include "protocol/protocol.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::state
{

/// A service that takes part of the new flows of a route.
struct weighted_service
{
    std::string service;
    std::uint32_t weight{1};

    auto operator<=>(const weighted_service&) const = default;
};

/// Whether a request may run twice, and how much it returns.
enum class request_kind : std::uint8_t
{
    idempotent = 0,
    non_idempotent = 1,
    download = 2, ///< idempotent, with a long answer
    upload = 3,   ///< runs once at most, with a long request
    unknown = 4   ///< of a newer version; runs once at most
};

/// Name of a kind for logs.
std::string_view to_text(request_kind kind);

/// A destination that callers use and the services that serve it.
struct service_route
{
    std::string name;
    transport::endpoint address;
    std::vector<weighted_service> services;
    request_kind kind{request_kind::idempotent};
    std::uint32_t timeout_ms{0};
    std::uint32_t target_latency_ms{0};
    std::uint32_t priority{0}; ///< 0 is the highest

    auto operator<=>(const service_route&) const = default;
};

/// A service of a plan.
struct planned_service
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections{0}; ///< flows of one upstream; 0: unknown
    /// How long an upstream is cold after its start; 0: not known.
    std::uint32_t warmup_ms{0};
    /// New requests per 1,000 s that one cold upstream may get, in sum over all
    /// entry instances; 0: not limited.
    std::uint32_t warmup_requests_per_1000_s{0};

    auto operator<=>(const planned_service&) const = default;
};

/// A complete routing configuration with a version. Versions increase, with
/// gaps; the plan with the highest version is in force.
struct routing_plan
{
    std::uint64_t version{0}; ///< 0: nothing was configured yet
    std::vector<service_route> routes;
    std::vector<planned_service> services;
    std::uint32_t idle_timeout_ms{0}; ///< of a flow; 0: not limited

    auto operator<=>(const routing_plan&) const = default;
};

/// A plan with the document that it was read from, which is returned
/// unchanged to operators who request it.
struct submitted_plan
{
    routing_plan plan;
    std::string document;

    auto operator<=>(const submitted_plan&) const = default;
};

/// Checks a plan: a version, known services, distinct addresses, time-outs and
/// weights above 0. error_kind::invalid_argument names the first fault.
result<void> check_plan(const routing_plan& plan);

/// Encodes a plan with msgpack. A submitted plan, which is kept in the log and
/// in snapshots, is compressed; a plan for an entry instance is not, so that
/// instances of the previous version can read it.
std::string encode_plan(const submitted_plan& plan);
std::string encode_plan(const routing_plan& plan);

/// Decodes what encode_plan() wrote, compressed or not;
/// error_kind::malformed_message otherwise. Never throws.
result<submitted_plan> decode_submitted_plan(std::string_view bytes);
result<routing_plan> decode_plan(std::string_view bytes);

/// Result of submitting a plan.
enum class plan_outcome : std::uint8_t
{
    in_force,  ///< its version is the highest so far
    superseded ///< a plan with this version or a higher one is in force
};

/// The replicated register that holds the plan with the highest version. Of two
/// plans with one version the first that is applied stays.
class plan_register
{
public:
    /// Applies a plan.
    plan_outcome apply(submitted_plan plan);

    /// The plan in force; version 0 if there is none yet. Never null.
    const std::shared_ptr<const submitted_plan>& current() const
    {
        return current_;
    }

private:
    std::shared_ptr<const submitted_plan> current_{
        std::make_shared<submitted_plan>()};
};

} // namespace boragestand::state
