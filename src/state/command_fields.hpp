#pragma once

#include "state/control_command.hpp"
#include "state/msgpack_codec.hpp"

#include <tuple>

/// Encoded fields of commands and their outcomes.
namespace boragestand::state::codec
{

template <>
inline constexpr auto last_enumerator<error_kind> = error_kind::internal;

template <>
struct fields_of<error>
{
    static auto tie(auto& value) { return std::tie(value.kind, value.message); }
};

template <>
struct fields_of<document::position>
{
    static auto tie(auto& value) { return std::tie(value.line, value.column); }
};

template <>
struct fields_of<document::fault>
{
    static auto tie(auto& value)
    {
        return std::tie(value.where, value.message);
    }
};

template <>
struct fields_of<request_identity>
{
    static auto tie(auto& value)
    {
        return std::tie(value.client, value.sequence);
    }
};

template <>
struct fields_of<submit_note>
{
    static auto tie(auto& value) { return std::tie(value.text); }
};

template <>
struct fields_of<record_agreement>
{
    static auto tie(auto& value)
    {
        return std::tie(value.director, value.service, value.rule,
                        value.limit_per_minute, value.expires_in_s);
    }
};

template <>
struct fields_of<withdraw_agreement>
{
    static auto tie(auto& value) { return std::tie(value.id); }
};

template <>
struct fields_of<set_drain>
{
    static auto tie(auto& value)
    {
        return std::tie(value.service, value.upstream, value.drain);
    }
};

template <>
struct fields_of<command>
{
    static auto tie(auto& value)
    {
        return std::tie(value.request, value.proposed, value.action);
    }
};

template <>
struct fields_of<note_winner>
{
    static auto tie(auto& value)
    {
        return std::tie(value.number, value.digest, value.revision);
    }
};

template <>
struct fields_of<note_accepted>
{
    static auto tie(auto& value)
    {
        return std::tie(value.number, value.revision, value.already_accepted,
                        value.digest);
    }
};

template <>
struct fields_of<note_conflict>
{
    static auto tie(auto& value) { return std::tie(value.winner); }
};

template <>
struct fields_of<note_invalid>
{
    static auto tie(auto& value) { return std::tie(value.faults); }
};

template <>
struct fields_of<agreement_recorded>
{
    static auto tie(auto& value) { return std::tie(value.id, value.revision); }
};

template <>
struct fields_of<agreement_withdrawn>
{
    static auto tie(auto& value) { return std::tie(value.id, value.revision); }
};

template <>
struct fields_of<drain_set>
{
    static auto tie(auto& value) { return std::tie(value.revision); }
};

template <>
struct fields_of<command_failed>
{
    static auto tie(auto& value) { return std::tie(value.cause); }
};

} // namespace boragestand::state::codec
