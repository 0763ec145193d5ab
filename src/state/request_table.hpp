#pragma once

#include "state/control_command.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace boragestand::state
{

/// The last command of a client and its outcome.
struct request_record
{
    std::uint64_t sequence{0};
    std::uint64_t action_hash{0}; ///< detects a reused sequence
    command_outcome outcome;

    auto operator<=>(const request_record&) const = default;
};

/// The last command of each of a limited number of clients. Drops the client
/// with the lowest sequence first. Commands of unknown clients with a sequence
/// up to the highest dropped one are rejected, so that a command never runs
/// twice, even after its record was dropped.
class request_table
{
public:
    explicit request_table(std::size_t capacity) : capacity_(capacity) {}

    /// The outcome to return without running the command; nothing if it is new.
    std::optional<command_outcome>
    find_outcome(const request_identity& request,
                 std::uint64_t action_hash) const;

    /// The record of a client, or null.
    const request_record* find_record(const std::string& client) const;

    /// Stores the outcome of a command that has run.
    void store(const request_identity& request, std::uint64_t action_hash,
               command_outcome outcome);

    /// Highest sequence of a dropped record.
    std::uint64_t highest_dropped_sequence() const
    {
        return highest_dropped_sequence_;
    }

    /// All records by client, for snapshots.
    const std::map<std::string, request_record>& records() const
    {
        return records_;
    }

    /// A table with the records of a snapshot.
    static request_table restore(std::size_t capacity,
                                 std::uint64_t highest_dropped_sequence,
                                 std::map<std::string, request_record> records);

private:
    void drop_lowest_sequence();

    std::size_t capacity_;
    std::uint64_t highest_dropped_sequence_{0};
    std::map<std::string, request_record> records_;
    std::set<std::pair<std::uint64_t, std::string>> by_sequence_;
};

} // namespace boragestand::state
