#pragma once

#include "document/document.hpp"
#include "state/configuration.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace boragestand::state
{

/// Longest client id, director, service, rule and upstream name in bytes.
constexpr std::size_t max_identifier_size = 64;

/// Largest encoded command in bytes.
constexpr std::size_t max_command_size = 260 * 1024;

/// Identifies a command of a client, so that a resend is not executed again.
/// The sequence of a client grows with each new command; clients use the wall
/// time in milliseconds at which they issue the command, or a greater number.
struct request_identity
{
    std::string client;
    std::uint64_t sequence{0};

    auto operator<=>(const request_identity&) const = default;
};

/// Puts a release note into effect.
struct submit_note
{
    std::string text; ///< YAML

    auto operator<=>(const submit_note&) const = default;
};

/// Records that a director agrees to refusals.
struct record_agreement
{
    std::string director;
    std::string service;
    std::string rule; ///< empty for flows that find no slot
    std::uint32_t limit_per_minute{0};
    std::uint32_t expires_in_s{0};

    auto operator<=>(const record_agreement&) const = default;
};

/// Ends an agreement before it expires.
struct withdraw_agreement
{
    std::uint64_t id{0};

    auto operator<=>(const withdraw_agreement&) const = default;
};

/// Drains an upstream, or lets it take new flows again.
struct set_drain
{
    std::string service;
    std::string upstream;
    bool drain{true};

    auto operator<=>(const set_drain&) const = default;
};

using command_action =
    std::variant<submit_note, record_agreement, withdraw_agreement, set_drain>;

/// One entry of the replicated log.
struct command
{
    request_identity request;
    wall_time proposed; ///< at the proposer; replicas use no other time
    command_action action;

    auto operator<=>(const command&) const = default;
};

/// The note that was accepted first with a number.
struct note_winner
{
    std::uint64_t number{0};
    std::string digest;
    std::uint64_t revision{0};

    auto operator<=>(const note_winner&) const = default;
};

/// The note has been part of the configuration since this revision.
struct note_accepted
{
    std::uint64_t number{0};
    std::uint64_t revision{0};
    bool already_accepted{false}; ///< the same content was accepted before
    std::string digest;

    auto operator<=>(const note_accepted&) const = default;
};

/// Another note has this number.
struct note_conflict
{
    note_winner winner;

    auto operator<=>(const note_conflict&) const = default;
};

/// The note does not fit the configuration in force.
struct note_invalid
{
    std::vector<document::fault> faults;

    auto operator<=>(const note_invalid&) const = default;
};

/// The agreement has been part of the configuration since this revision.
struct agreement_recorded
{
    std::uint64_t id{0};
    std::uint64_t revision{0};

    auto operator<=>(const agreement_recorded&) const = default;
};

/// The agreement was removed from the configuration at this revision.
struct agreement_withdrawn
{
    std::uint64_t id{0};
    std::uint64_t revision{0};

    auto operator<=>(const agreement_withdrawn&) const = default;
};

/// The upstream has had the requested drain value since this revision.
struct drain_set
{
    std::uint64_t revision{0};

    auto operator<=>(const drain_set&) const = default;
};

/// The command changed nothing.
struct command_failed
{
    error cause;

    auto operator<=>(const command_failed&) const = default;
};

/// Result of applying a command.
using command_outcome =
    std::variant<note_accepted, note_conflict, note_invalid, agreement_recorded,
                 agreement_withdrawn, drain_set, command_failed>;

/// The error kind of an outcome, or nothing if the command took effect.
std::optional<error_kind> error_kind_of(const command_outcome& outcome);

/// Encodes a command with msgpack; error_kind::invalid_argument if a field is
/// longer than its bound.
result<std::vector<std::byte>> encode_command(const command& value);

/// Decodes a command; error_kind::malformed_message for anything that
/// encode_command does not write. Never throws.
result<command> decode_command(std::span<const std::byte> bytes);

} // namespace boragestand::state
