#include "state/durable_log.hpp"

#include "state/durable_log_reader.hpp"
#include "state/record_frame.hpp"

#include <algorithm>
#include <optional>

namespace boragestand::state
{

namespace
{

constexpr std::string_view prefix = "log-";
constexpr std::string_view suffix = ".segment";
constexpr int sequence_digits = 12;

std::optional<std::uint64_t> parse_sequence(std::string_view name)
{
    if (name.size() != prefix.size() + sequence_digits + suffix.size() ||
        !name.starts_with(prefix) || !name.ends_with(suffix))
    {
        return std::nullopt;
    }
    const auto digits = name.substr(prefix.size(), sequence_digits);
    if (digits.find_first_not_of("0123456789") != std::string_view::npos)
    {
        return std::nullopt;
    }
    return std::stoull(std::string(digits));
}

} // namespace

std::string durable_log::file_name(std::uint64_t sequence)
{
    const std::string digits = std::to_string(sequence);
    return std::string(prefix) +
           std::string(sequence_digits - digits.size(), '0') + digits +
           std::string(suffix);
}

durable_log::durable_log(disk& files, std::uint64_t segment_size)
    : files_(&files), segment_size_(segment_size)
{
}

result<durable_log> durable_log::open(disk& files,
                                      const protocol::log_position& snapshot,
                                      log_recovery& recovery,
                                      std::uint64_t segment_size)
{
    const auto names = files.list();
    if (!names)
    {
        return tl::unexpected(names.error());
    }
    std::vector<std::uint64_t> sequences;
    for (const auto& name : *names)
    {
        if (const auto sequence = parse_sequence(name))
        {
            sequences.push_back(*sequence);
        }
    }
    durable_log log(files, segment_size);
    reader segments(files, recovery);
    for (const auto sequence : sequences)
    {
        if (!log.segments_.empty() &&
            sequence != log.segments_.back().sequence + 1)
        {
            return failure(error_kind::storage_corrupt,
                           file_name(log.segments_.back().sequence + 1) +
                               " at offset 0: segment is missing");
        }
        const auto found =
            segments.read(sequence, sequence == sequences.back());
        if (!found)
        {
            return tl::unexpected(found.error());
        }
        log.segments_.push_back(*found);
    }
    const auto finished = segments.finish(snapshot);
    if (!finished)
    {
        return tl::unexpected(finished.error());
    }
    log.last_index_ = segments.last_index();
    if (segments.is_replaced())
    {
        log.missing_reset_ = snapshot;
    }
    return log.sync_recovered().map([&] { return std::move(log); });
}

// A process that was killed between a write and its sync leaves data that is
// readable, but not yet durable and lost in a power failure.
result<void> durable_log::sync_recovered()
{
    const auto synced =
        segments_.empty() ? result<void>{}
                          : files_->sync(file_name(segments_.back().sequence));
    return synced.and_then([this] { return files_->sync_directory(); });
}

result<void>
durable_log::append(const std::vector<protocol::log_entry>& entries)
{
    if (entries.empty())
    {
        return {};
    }
    if (entries.front().index > last_index_ + 1)
    {
        return failure(error_kind::internal,
                       "append would leave a gap after index " +
                           std::to_string(last_index_));
    }
    if (missing_reset_)
    {
        const auto written = reset(*missing_reset_);
        if (!written)
        {
            return written;
        }
    }
    const std::uint64_t last = entries.back().index;
    return write(entries_record + protocol::encode_log_entries(entries), last)
        .map([&] { last_index_ = last; });
}

result<void> durable_log::reset(const protocol::log_position& base)
{
    const std::vector<protocol::log_entry> marker{
        {base.index, base.term, {}, {}}};
    const auto written =
        write(reset_record + protocol::encode_log_entries(marker), base.index);
    if (!written)
    {
        return written;
    }
    missing_reset_.reset();
    last_index_ = base.index;
    while (segments_.size() > 1)
    {
        const auto removed = remove_oldest();
        if (!removed)
        {
            return removed;
        }
    }
    return {};
}

result<void> durable_log::compact(std::uint64_t index)
{
    while (segments_.size() > 1 && segments_.front().highest_index <= index)
    {
        const auto removed = remove_oldest();
        if (!removed)
        {
            return removed;
        }
    }
    return {};
}

result<void> durable_log::remove_oldest()
{
    // Synced one by one, so that a crash never leaves a gap between segments.
    return files_->remove(file_name(segments_.front().sequence))
        .and_then([this] { return files_->sync_directory(); })
        .map([this] { segments_.pop_front(); });
}

result<void> durable_log::write(const std::string& payload,
                                std::uint64_t highest)
{
    if (failed_)
    {
        return failure(error_kind::storage_failure,
                       "the log failed before and must be opened again");
    }
    if (payload.size() > max_frame_payload)
    {
        return failure(error_kind::resource_exhausted,
                       "record of " + std::to_string(payload.size()) +
                           " bytes is too long");
    }
    const auto written = write_frame(make_frame(payload));
    failed_ = !written;
    if (written)
    {
        auto& current = segments_.back();
        current.highest_index = std::max(current.highest_index, highest);
    }
    return written;
}

result<void> durable_log::write_frame(const std::string& frame)
{
    const bool new_segment =
        segments_.empty() || segments_.back().size >= segment_size_;
    if (new_segment)
    {
        const auto sequence =
            segments_.empty() ? 1 : segments_.back().sequence + 1;
        segments_.push_back({sequence, 0, 0});
    }
    segment& current = segments_.back();
    const std::string name = file_name(current.sequence);
    const auto written = files_->append(name, frame)
                             .and_then([&] { return files_->sync(name); });
    if (!written)
    {
        return written;
    }
    current.size += frame.size();
    return new_segment ? files_->sync_directory() : result<void>{};
}

} // namespace boragestand::state
