#include "state/request_table.hpp"

#include <algorithm>

namespace boragestand::state
{

namespace
{

command_outcome make_failure(error_kind kind, std::string message)
{
    return command_failed{{kind, std::move(message)}};
}

} // namespace

const request_record*
request_table::find_record(const std::string& client) const
{
    const auto found = records_.find(client);
    return found == records_.end() ? nullptr : &found->second;
}

std::optional<command_outcome>
request_table::find_outcome(const request_identity& request,
                            std::uint64_t action_hash) const
{
    const request_record* record = find_record(request.client);
    if (record == nullptr)
    {
        if (request.sequence > highest_dropped_sequence_)
        {
            return std::nullopt;
        }
        return make_failure(
            error_kind::timeout,
            "commands with sequence " + std::to_string(request.sequence) +
                " are no longer remembered; this one was not run "
                "now, use a greater sequence");
    }
    if (request.sequence > record->sequence)
    {
        return std::nullopt;
    }
    if (request.sequence < record->sequence)
    {
        return make_failure(error_kind::timeout,
                            "client has gone on to sequence " +
                                std::to_string(record->sequence) +
                                "; this command was not run now");
    }
    if (action_hash != record->action_hash)
    {
        return make_failure(error_kind::invalid_argument,
                            "sequence " + std::to_string(request.sequence) +
                                " was used for another command");
    }
    return record->outcome;
}

void request_table::store(const request_identity& request,
                          std::uint64_t action_hash, command_outcome outcome)
{
    request_record& record = records_[request.client];
    by_sequence_.erase({record.sequence, request.client});
    record = {request.sequence, action_hash, std::move(outcome)};
    by_sequence_.insert({request.sequence, request.client});
    if (records_.size() > capacity_)
    {
        drop_lowest_sequence();
    }
}

void request_table::drop_lowest_sequence()
{
    const auto lowest = by_sequence_.begin();
    highest_dropped_sequence_ =
        std::max(highest_dropped_sequence_, lowest->first);
    records_.erase(lowest->second);
    by_sequence_.erase(lowest);
}

request_table
request_table::restore(std::size_t capacity,
                       std::uint64_t highest_dropped_sequence,
                       std::map<std::string, request_record> records)
{
    request_table table(capacity);
    table.highest_dropped_sequence_ = highest_dropped_sequence;
    table.records_ = std::move(records);
    for (const auto& [client, record] : table.records_)
    {
        table.by_sequence_.insert({record.sequence, client});
    }
    return table;
}

} // namespace boragestand::state
