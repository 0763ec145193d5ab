#pragma once

#include "coordination/routing_token.hpp"
#include "coordination/upstream_registry.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>

namespace boragestand::coordination
{

/// The two ends of a flow as its caller names them.
struct token_flow
{
    transport::endpoint caller;
    transport::endpoint destination;

    auto operator<=>(const token_flow&) const = default;
};

/// A packet of a caller, without its data.
struct token_packet
{
    token_flow flow;
    bool syn{false};
    bool ack{false};
    bool fin{false};
    bool rst{false};
    std::uint32_t sequence{0};
    routing_token token{0}; ///< the last one that the caller received

    auto operator<=>(const token_packet&) const = default;
};

/// Why a packet is sent on to its upstream.
enum class forward_reason : std::uint8_t
{
    placed,      ///< a new flow
    placed_anew, ///< a repeated SYN that the first choice did not answer
    by_flow,     ///< the flow is known here
    by_token     ///< the packet's token names the upstream
};

/// Why a packet is dropped without an answer.
enum class token_drop : std::uint8_t
{
    malformed_flags, ///< SYN with ACK, FIN or RST
    unknown_token,   ///< the token names no known upstream
    no_token,        ///< neither a token nor a known flow
    no_upstream,     ///< the service has no upstream yet
    no_plan          ///< nothing was configured yet, or the plan may be old
};

/// Name of a reason for logs.
std::string_view to_text(forward_reason reason);
std::string_view to_text(token_drop reason);

/// Send the packet to an upstream, with this token in it.
struct forward_packet
{
    std::uint64_t upstream{0};
    transport::endpoint address;
    routing_token token{0};
    forward_reason reason{forward_reason::by_flow};
    /// Of a placement: open flows of the upstream from here, before this one,
    /// and of the candidates how many could be chosen.
    std::uint32_t open{0};
    std::uint32_t candidates{0};

    auto operator<=>(const forward_packet&) const = default;
};

/// Answer the caller with a reset: no route leads from the destination.
struct reset_caller
{
    auto operator<=>(const reset_caller&) const = default;
};

/// Send nothing.
struct drop_packet
{
    token_drop reason{token_drop::no_upstream};

    auto operator<=>(const drop_packet&) const = default;
};

using token_decision = std::variant<forward_packet, reset_caller, drop_packet>;

/// Times and weights of a token_router.
struct token_router_settings
{
    std::uint64_t data_centre{0}; ///< hash of the name of the own one
    std::uint32_t self{0};        ///< address of this instance
    /// A SYN without a following packet for this long makes its upstream a
    /// suspect: the handshake takes one round trip of a few milliseconds.
    duration handshake_limit{std::chrono::milliseconds(40)};
    /// Flows that a suspect counts as, besides its own. An upstream with as
    /// many open flows from one instance has a full queue and is no better.
    double suspect_penalty{20.0};
    /// The same for an upstream in a data centre that does not answer. As a
    /// last resort instead, a data centre that is cut off overloads its own
    /// upstreams while the others are back already.
    double unreachable_penalty{30.0};
    /// First and longest time without new flows after an unanswered SYN.
    duration first_suspension{std::chrono::milliseconds(500)};
    duration longest_suspension{std::chrono::seconds(4)};
    /// As many upstreams of a data centre that are silent at once, with no
    /// answer from it since, make the whole data centre a suspect.
    std::size_t silent_upstreams{2};
    /// One flow probes a data centre after its suspension; further ones wait
    /// this long for its answer.
    duration probe_wait{std::chrono::milliseconds(250)};
    /// A SYN that was not answered is forgotten after this time; callers give
    /// up before.
    duration handshake_timeout{std::chrono::milliseconds(1600)};
    /// An open flow without a packet for this long no longer counts as load.
    duration quiet_limit{std::chrono::seconds(3)};
    /// A record of a flow is kept this long after its last packet.
    duration flow_lifetime{std::chrono::seconds(20)};
    /// Tokens of former incarnations are kept this long.
    duration former_token_lifetime{std::chrono::seconds(60)};
    /// Flows that an upstream that is still slow after its start counts as,
    /// besides its own.
    double cold_penalty{3.0};
    /// The same for an upstream in another data centre, which costs a longer
    /// way.
    double remote_penalty{0.3};
    /// A plan that was confirmed this recently may be used to turn callers
    /// away.
    duration plan_trust{std::chrono::seconds(1)};
    std::size_t max_flows{200000};
};

/// Counters since the start.
struct token_router_counters
{
    std::uint64_t placed{0};
    std::uint64_t placed_anew{0};
    std::uint64_t by_flow{0};
    std::uint64_t by_token{0};
    std::uint64_t resets{0};
    std::uint64_t unanswered{0}; ///< SYNs whose upstream did not answer
    std::array<std::uint64_t, 5> drops{}; ///< by token_drop
};

} // namespace boragestand::coordination
