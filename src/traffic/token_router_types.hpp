#pragma once

#include "coordination/coordination.hpp"
#include "traffic/routing_token.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>

namespace boragestand::traffic
{

/// Endpoints of a flow as the caller addresses them.
struct token_flow
{
    transport::endpoint caller;
    transport::endpoint destination;

    auto operator<=>(const token_flow&) const = default;
};

/// Header fields of a caller's packet that routing needs.
struct token_packet
{
    token_flow flow;
    bool syn{false};
    bool ack{false};
    bool fin{false};
    bool rst{false};
    std::uint32_t sequence{0};
    routing_token token{0};        ///< last token that the caller received
    std::uint32_t acknowledged{0}; ///< next sequence expected of the upstream
    std::uint32_t data_size{0};    ///< bytes of data
    bool repeated{false};          ///< a SYN that the caller has sent before

    auto operator<=>(const token_packet&) const = default;
};

/// Why a packet is forwarded to its upstream.
enum class forward_reason : std::uint8_t
{
    placed,      ///< a new flow
    placed_anew, ///< a repeated SYN that the first choice did not answer
    by_flow,     ///< the flow is known here
    by_token     ///< the packet's token names the upstream
};

/// Why a packet is dropped without an answer.
enum class token_drop_reason : std::uint8_t
{
    malformed_flags, ///< SYN with ACK, FIN or RST
    unknown_token,   ///< the token names no known upstream
    no_token,        ///< neither a token nor a known flow
    no_upstream,     ///< the service has no upstream yet
    no_plan          ///< nothing was configured yet, or the plan may be old
};

/// Name of a reason for logs.
std::string_view to_text(forward_reason reason);
std::string_view to_text(token_drop_reason reason);

/// Forward the packet to an upstream, with this token in it.
struct forward_packet
{
    std::uint64_t upstream{0};
    transport::endpoint address;
    routing_token token{0};
    forward_reason reason{forward_reason::by_flow};
    /// Only of a placement: flows open from this instance to the upstream
    /// before this one, and the number of upstreams that were eligible.
    std::uint32_t open_flows{0};
    std::uint32_t candidates{0};
    /// Only of a placement by joined load: requests in progress at the upstream
    /// over all entry instances, the share of them without an answer and the
    /// share of its slow start, in hundredths.
    bool by_joined_load{false};
    std::uint32_t busy_percent{0};
    std::uint32_t failing_percent{0};
    std::uint32_t share_percent{0};

    auto operator<=>(const forward_packet&) const = default;
};

/// Why a caller is answered with a reset. None of its packets was sent on.
enum class reset_reason : std::uint8_t
{
    no_route, ///< no route leads from the destination
    evacuated ///< all upstreams of the service are in evacuated data centres
};

/// Name of a reason for logs.
std::string_view to_text(reset_reason reason);

/// Answer the caller with a reset.
struct reset_caller
{
    reset_reason reason{reset_reason::no_route};

    auto operator<=>(const reset_caller&) const = default;
};

/// Drop the packet without an answer.
struct drop_packet
{
    token_drop_reason reason{token_drop_reason::no_upstream};

    auto operator<=>(const drop_packet&) const = default;
};

using token_decision = std::variant<forward_packet, reset_caller, drop_packet>;

/// Times and weights of a token_router.
struct token_router_settings
{
    std::uint64_t data_centre{0}; ///< hash of this instance's data centre
    std::uint32_t own_address{0}; ///< address of this instance
    /// A SYN without a following packet for this long makes its upstream a
    /// suspect: the handshake takes one round trip of a few milliseconds.
    duration handshake_limit{std::chrono::milliseconds(40)};
    /// Open flows added to the cost of a suspect. An upstream with that many
    /// open flows from one instance has a full queue and is no better choice.
    double suspect_penalty{20.0};
    /// Open flows added to the cost of an upstream in a data centre that does
    /// not answer. The penalty is finite: if such upstreams were only a last
    /// resort, an isolated data centre would overload its own upstreams
    /// although the others are reachable again.
    double unreachable_penalty{30.0};
    /// Initial and maximum suspension from new flows after an unanswered SYN.
    duration first_suspension{std::chrono::milliseconds(500)};
    duration longest_suspension{std::chrono::seconds(4)};
    /// A data centre is suspended once this many of its upstreams are silent at
    /// the same time and none of its upstreams has answered since.
    std::size_t silent_upstream_limit{2};
    /// One flow probes a data centre after its suspension; further ones wait
    /// this long for its answer.
    duration probe_timeout{std::chrono::milliseconds(250)};
    /// The record of an unanswered SYN is removed after this time; callers stop
    /// retransmitting earlier.
    duration handshake_timeout{std::chrono::milliseconds(1600)};
    /// An open flow without a packet for this long no longer counts as load.
    duration idle_limit{std::chrono::seconds(3)};
    /// A record of a flow is kept this long after its last packet.
    duration flow_lifetime{std::chrono::seconds(20)};
    /// Tokens of former incarnations are still routed for this long.
    duration former_token_lifetime{std::chrono::seconds(60)};
    /// Open flows added to the cost of an upstream that is warming up.
    double warmup_penalty{3.0};
    /// Open flows added to the cost of an upstream in another data centre, for
    /// its longer round trip.
    double remote_penalty{0.3};
    /// Callers are reset for lack of a route only if the request for the last
    /// confirmation of the plan was sent within this time. Confirmations arrive
    /// every half second, each up to half a second after its request.
    duration plan_confirmation_lifetime{std::chrono::milliseconds(1500)};
    std::size_t max_flows{200000};
    /// After the end of an evacuation, upstreams whose service limits the rate
    /// of cold ones wait this long: one and a half intervals of heartbeats,
    /// after which their records say whether they are cold.
    duration evacuation_return_delay{std::chrono::milliseconds(1800)};
    /// Callers for whom there is no upstream may be reset.
    bool may_refuse{false};
    /// Upstreams are selected by the load over all entry instances.
    bool joins_load{false};
};

/// What an entry instance knows of the load over all instances, for metrics.
struct load_summary
{
    duration age{0};
    bool usable{false};
    double mean_use{0}; ///< requests in progress for each slot
    double max_use{0};
    std::size_t suspected{0};
    std::size_t recovering{0};

    auto operator<=>(const load_summary&) const = default;
};

/// Counters since the start.
struct token_router_counters
{
    std::uint64_t placed{0};
    std::uint64_t placed_anew{0};
    std::uint64_t by_flow{0};
    std::uint64_t by_token{0};
    std::uint64_t resets{0};
    std::uint64_t evacuated{0};  ///< resets for evacuated data centres
    std::uint64_t unanswered{0}; ///< SYNs whose upstream did not answer
    std::array<std::uint64_t, 5> drops{}; ///< by token_drop
};

} // namespace boragestand::traffic
