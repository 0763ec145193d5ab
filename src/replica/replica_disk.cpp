#include "replica/replica_disk.hpp"

#include <utility>

namespace boragestand::replica
{

result<std::unique_ptr<replica_disk>>
replica_disk::open(const std::string& path, std::uint64_t segment_size)
{
    auto files = state::file_disk::open(path);
    if (!files)
    {
        return tl::unexpected(files.error());
    }
    return open(std::unique_ptr<state::disk>(std::move(*files)), segment_size)
        .map_error(
            [&path](const error& fault) {
                return error{fault.kind, path + ": " + fault.message};
            });
}

result<std::unique_ptr<replica_disk>>
replica_disk::open(std::unique_ptr<state::disk> files,
                   std::uint64_t segment_size)
{
    std::unique_ptr<replica_disk> disk(
        new replica_disk(std::move(files), segment_size));
    return disk->read().map([&] { return std::move(disk); });
}

replica_disk::replica_disk(std::unique_ptr<state::disk> files,
                           std::uint64_t segment_size)
    : files_(std::move(files))
    , segment_size_(segment_size)
    , hard_state_(*files_)
    , snapshots_(*files_)
{
}

result<void> replica_disk::read()
{
    const auto condition = hard_state_.inspect();
    if (!condition)
    {
        return tl::unexpected(condition.error());
    }
    condition_ = *condition;
    recovery_ = {};
    auto snapshot = snapshots_.load();
    if (!snapshot)
    {
        return tl::unexpected(snapshot.error());
    }
    snapshot_ = std::move(*snapshot);
    const auto last = snapshot_ ? snapshot_->last : protocol::log_position{};
    auto log =
        state::durable_log::open(*files_, last, recovery_, segment_size_);
    if (!log)
    {
        return tl::unexpected(log.error());
    }
    log_ = std::move(*log);
    has_snapshot_ = snapshot_.has_value();
    has_entries_ = !recovery_.entries.empty();
    return {};
}

result<void> replica_disk::create(replica_id self)
{
    return hard_state_.create(self).map(
        [this] { condition_ = state::disk_condition::initialized; });
}

bool replica_disk::has_history() const
{
    return has_snapshot_ || has_entries_;
}

result<void>
replica_disk::save_founders(const protocol::replica_group& founders)
{
    if (has_snapshot_)
    {
        return failure(error_kind::internal, "the group is founded already");
    }
    // The leader may have sent entries before this instance knew the group.
    return snapshots_.save({{}, founders, {}})
        .and_then([this] { return read(); });
}

agreement::agreement_start
replica_disk::start(const transport::endpoint& address, std::uint64_t seed)
{
    return {hard_state_.current(),
            std::exchange(snapshot_, std::nullopt),
            std::exchange(recovery_.entries, {}),
            address,
            seed,
            0};
}

result<void>
replica_disk::carry_out(const agreement::persist_hard_state& effect)
{
    return hard_state_.save(effect.value);
}

result<void> replica_disk::carry_out(const agreement::persist_snapshot& effect)
{
    const auto last = effect.snapshot->last;
    return snapshots_.save(*effect.snapshot)
        .and_then(
            [&] {
                return effect.installed ? log_->reset(last)
                                        : log_->compact(last.index);
            });
}

result<void> replica_disk::carry_out(const agreement::persist_entries& effect)
{
    return log_->append(effect.entries);
}

} // namespace boragestand::replica
