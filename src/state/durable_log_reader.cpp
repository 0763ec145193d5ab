#include "state/durable_log_reader.hpp"

#include "state/record_frame.hpp"

namespace boragestand::state
{

namespace
{

tl::unexpected<error> corrupt(const std::string& file, std::uint64_t offset,
                              const std::string& what)
{
    return failure(error_kind::storage_corrupt,
                   file + " at offset " + std::to_string(offset) + ": " + what);
}

} // namespace

durable_log::reader::reader(disk& files, log_recovery& recovery)
    : files_(files), recovery_(recovery)
{
}

result<durable_log::segment> durable_log::reader::read(std::uint64_t sequence,
                                                       bool newest)
{
    const std::string name = file_name(sequence);
    const auto content = files_.read(name);
    if (!content)
    {
        return tl::unexpected(content.error());
    }
    segment found{sequence, 0, 0};
    while (true)
    {
        const frame_scan frame = scan_frame(*content, found.size);
        if (frame.state == frame_state::end)
        {
            return found;
        }
        if (frame.state == frame_state::torn && newest)
        {
            return truncate_tail(name, found.size, content->size())
                .map([&] { return found; });
        }
        if (frame.state != frame_state::valid)
        {
            return corrupt(name, found.size, "checksum mismatch");
        }
        const auto applied = apply(frame.payload, found);
        if (!applied)
        {
            return corrupt(name, found.size, applied.error().message);
        }
        found.size = frame.end;
    }
}

result<void> durable_log::reader::truncate_tail(const std::string& name,
                                                std::uint64_t offset,
                                                std::uint64_t size)
{
    recovery_.torn_file = name;
    recovery_.torn_offset = offset;
    recovery_.torn_bytes = size - offset;
    return files_.truncate(name, offset)
        .and_then([&] { return files_.sync(name); });
}

result<void> durable_log::reader::apply(std::string_view payload,
                                        segment& target)
{
    const char kind = payload.empty() ? '\0' : payload.front();
    if (kind == entries_record)
    {
        return apply_entries(payload.substr(1), target);
    }
    if (kind == reset_record)
    {
        return apply_reset(payload.substr(1), target);
    }
    return failure(error_kind::storage_corrupt, "unknown record kind");
}

result<void> durable_log::reader::apply_entries(std::string_view encoded,
                                                segment& target)
{
    auto added = protocol::decode_log_entries(encoded);
    if (!added || added->empty())
    {
        return failure(error_kind::storage_corrupt, "malformed entries record");
    }
    auto& entries = recovery_.entries;
    const std::uint64_t first = added->front().index;
    if (!has_base_)
    {
        base_ = first - 1;
        has_base_ = true;
    }
    if (first > last_index() + 1)
    {
        return failure(error_kind::storage_corrupt, "entries before index " +
                                                        std::to_string(first) +
                                                        " are missing");
    }
    if (first <= base_)
    {
        entries.clear();
        base_ = first - 1;
    }
    entries.resize(first - base_ - 1);
    target.highest_index = std::max(target.highest_index, added->back().index);
    for (auto& entry : *added)
    {
        entries.push_back(std::move(entry));
    }
    return {};
}

result<void> durable_log::reader::apply_reset(std::string_view encoded,
                                              segment& target)
{
    const auto marker = protocol::decode_log_entries(encoded);
    if (!marker || marker->size() != 1)
    {
        return failure(error_kind::storage_corrupt, "malformed reset record");
    }
    recovery_.entries.clear();
    base_ = marker->front().index;
    has_base_ = true;
    target.highest_index = std::max(target.highest_index, base_);
    return {};
}

std::uint64_t durable_log::reader::last_index() const
{
    return base_ + recovery_.entries.size();
}

result<void> durable_log::reader::finish(const protocol::log_position& snapshot)
{
    auto& entries = recovery_.entries;
    if (!has_base_)
    {
        base_ = snapshot.index;
        has_base_ = true;
    }
    if (base_ > snapshot.index)
    {
        return failure(error_kind::storage_corrupt,
                       "the log starts after index " + std::to_string(base_) +
                           " but the newest snapshot ends at " +
                           std::to_string(snapshot.index));
    }
    const std::uint64_t covered = snapshot.index - base_;
    // The log ends before the snapshot, or it diverged before the snapshot was
    // installed by a leader: the snapshot replaces the whole log.
    replaced_ = covered > entries.size() ||
                (covered > 0 && entries[covered - 1].term != snapshot.term);
    entries.erase(entries.begin(),
                  replaced_
                      ? entries.end()
                      : entries.begin() + static_cast<std::ptrdiff_t>(covered));
    base_ = snapshot.index;
    return {};
}

} // namespace boragestand::state
