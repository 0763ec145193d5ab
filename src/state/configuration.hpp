#pragma once

#include "protocol/protocol.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragestand::state
{

/// A service as a release note defines it.
struct service
{
    service_id id;
    std::string name;
    transport::endpoint address; ///< destination that callers use
    protocol::ip_protocol protocol{protocol::ip_protocol::tcp};
    /// Whether a request may run twice without harm. UDP services that are not
    /// idempotent get their pin acknowledged before the first datagram.
    bool idempotent{false};
    protocol::request_class work{protocol::request_class::unspecified};
    std::uint32_t short_limit_ms{1000};  ///< a flow open longer counts as long
    std::uint32_t hold_limit_ms{5000};   ///< longest hold without a free slot
    std::uint32_t hold_capacity{4096};   ///< flows held at once by an instance
    std::uint32_t idle_limit_ms{300000}; ///< a flow without packets ends

    auto operator<=>(const service&) const = default;
};

/// What a rule does with matching flows.
enum class rule_action : std::uint8_t
{
    accept = 0, ///< exempts from later rules
    share = 1,  ///< at most share_percent of the service's slots
    refuse = 2  ///< rejected, but only under a director's agreement
};

/// Rules of a service are tried in their order; the first match decides. A flow
/// that none matches is accepted.
struct rule
{
    std::string name;
    service_id service;
    std::uint32_t source_address{0};      ///< IPv4 prefix, host byte order
    std::uint8_t source_prefix_length{0}; ///< 0 matches every caller
    protocol::request_class work{protocol::request_class::unspecified};
    rule_action action{rule_action::accept};
    std::uint8_t share_percent{100};

    auto operator<=>(const rule&) const = default;
};

/// Weight or drain of an upstream set by an operator. It takes precedence over
/// the values that the upstream announces.
struct upstream_override
{
    service_id service;
    std::string upstream;
    std::optional<std::uint16_t> weight;
    bool drain{false};

    auto operator<=>(const upstream_override&) const = default;
};

/// A director's consent to refuse callers.
struct refusal_agreement
{
    std::uint64_t id{0};
    std::string director;
    service_id service;
    /// Rule it covers; empty means flows that find no slot within the hold
    /// limit.
    std::string rule;
    std::uint32_t limit_per_minute{0}; ///< refusals by each instance
    wall_time expires;

    auto operator<=>(const refusal_agreement&) const = default;
};

/// The replicated configuration at one revision, an immutable value that
/// instances share by pointer. Lists are sorted by their identity or name,
/// rules by service and then by their order of evaluation.
struct configuration
{
    std::uint64_t revision{0};
    std::uint64_t note_number{0}; ///< newest release note in force
    std::vector<service> services;
    std::vector<rule> rules;
    std::vector<upstream_override> overrides;
    std::vector<refusal_agreement> agreements;
    /// Highest service identity ever assigned, so that none is reused.
    std::uint32_t last_service{0};

    auto operator<=>(const configuration&) const = default;

    /// The service with this address and protocol, or null.
    const service* find_service(const transport::endpoint& address,
                                protocol::ip_protocol protocol) const;

    /// The service with this identity, or null.
    const service* find_service(service_id id) const;

    /// The service with this name, or null.
    const service* find_service(std::string_view name) const;
};

} // namespace boragestand::state
