#pragma once

#include "state/command_fields.hpp"
#include "state/configuration_fields.hpp"
#include "state/control_state.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragestand::state
{

/// Largest encoded state in bytes.
constexpr std::size_t max_snapshot_size = 128 * 1024 * 1024;

/// The encoded form of a control_state.
struct control_snapshot
{
    configuration current;
    std::map<std::string, request_record> requests;
    std::uint64_t request_floor{0};
    std::map<std::uint64_t, accepted_note> notes;
    std::vector<std::uint64_t> note_texts;
    std::uint64_t highest_dropped_note{0};
    std::vector<configuration_delta> deltas;
};

namespace codec
{

template <>
struct fields_of<request_record>
{
    static auto tie(auto& value)
    {
        return std::tie(value.sequence, value.action_hash, value.outcome);
    }
};

template <>
struct fields_of<accepted_note>
{
    static auto tie(auto& value)
    {
        return std::tie(value.number, value.digest, value.revision, value.text);
    }
};

template <>
struct fields_of<control_snapshot>
{
    static auto tie(auto& value)
    {
        return std::tie(value.current, value.requests, value.request_floor,
                        value.notes, value.note_texts,
                        value.highest_dropped_note, value.deltas);
    }
};

} // namespace codec

} // namespace boragestand::state
