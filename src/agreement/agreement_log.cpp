#include "agreement/agreement_log.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::agreement
{

agreement_log::agreement_log(
    std::optional<protocol::agreement_snapshot> snapshot,
    std::vector<protocol::log_entry> entries)
    : snapshot_(std::make_shared<const protocol::agreement_snapshot>(
          std::move(snapshot).value_or(protocol::agreement_snapshot{})))
{
    append(std::move(entries));
}

protocol::log_position agreement_log::last() const
{
    if (entries_.empty())
    {
        return snapshot_->last;
    }
    return {entries_.back().index, entries_.back().term};
}

std::optional<std::uint64_t> agreement_log::term_at(std::uint64_t index) const
{
    if (index == snapshot_->last.index)
    {
        return snapshot_->last.term;
    }
    if (index < snapshot_->last.index || index > last().index)
    {
        return std::nullopt;
    }
    return at(index).term;
}

const protocol::log_entry& agreement_log::at(std::uint64_t index) const
{
    return entries_.at(index - snapshot_->last.index - 1);
}

std::vector<protocol::log_entry>
agreement_log::slice(std::uint64_t first, std::size_t max_entries,
                     std::size_t max_bytes) const
{
    std::vector<protocol::log_entry> part;
    std::size_t bytes = 0;
    for (auto index = first; index <= last().index; ++index)
    {
        const auto& entry = at(index);
        bytes += entry.data.size();
        if (part.size() >= max_entries || (!part.empty() && bytes > max_bytes))
        {
            break;
        }
        part.push_back(entry);
    }
    return part;
}

void agreement_log::append(std::vector<protocol::log_entry> entries)
{
    if (entries.empty())
    {
        return;
    }
    const auto first = entries.front().index;
    entries_.resize(first - snapshot_->last.index - 1);
    std::erase_if(changes_, [first](const group_change& change)
                  { return change.index >= first; });
    for (auto& each : entries)
    {
        const auto& entry = entries_.emplace_back(std::move(each));
        if (entry.kind != protocol::entry_kind::membership)
        {
            continue;
        }
        if (auto group = protocol::decode_replica_group(entry.data))
        {
            changes_.push_back({entry.index, std::move(*group)});
        }
    }
}

std::uint64_t agreement_log::bytes_between(std::uint64_t first,
                                           std::uint64_t last) const
{
    std::uint64_t bytes = 0;
    for (auto index = first; index <= last; ++index)
    {
        bytes += sizeof(protocol::log_entry) + at(index).data.size();
    }
    return bytes;
}

void agreement_log::compact(std::uint64_t index, std::string data)
{
    const auto count =
        static_cast<std::ptrdiff_t>(index - snapshot_->last.index);
    protocol::agreement_snapshot next{
        {index, *term_at(index)}, group_at(index), std::move(data)};
    entries_.erase(entries_.begin(), entries_.begin() + count);
    std::erase_if(changes_, [index](const group_change& change)
                  { return change.index <= index; });
    snapshot_ =
        std::make_shared<const protocol::agreement_snapshot>(std::move(next));
}

void agreement_log::install(protocol::agreement_snapshot snapshot)
{
    entries_.clear();
    changes_.clear();
    snapshot_ = std::make_shared<const protocol::agreement_snapshot>(
        std::move(snapshot));
}

const protocol::replica_group& agreement_log::group() const
{
    return changes_.empty() ? snapshot_->group : changes_.back().group;
}

const protocol::replica_group&
agreement_log::group_at(std::uint64_t index) const
{
    const auto after = std::find_if(changes_.rbegin(), changes_.rend(),
                                    [index](const group_change& change)
                                    { return change.index <= index; });
    return after == changes_.rend() ? snapshot_->group : after->group;
}

std::uint64_t agreement_log::group_index() const
{
    return changes_.empty() ? 0 : changes_.back().index;
}

} // namespace boragestand::agreement
