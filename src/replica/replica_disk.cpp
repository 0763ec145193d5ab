#include "replica/replica_disk.hpp"

namespace boragestand::replica
{

result<std::unique_ptr<replica_disk>>
replica_disk::open(const std::string& path)
{
    auto files = state::file_disk::open(path);
    if (!files)
    {
        return tl::unexpected(files.error());
    }
    std::unique_ptr<replica_disk> disk(new replica_disk(std::move(*files)));
    const auto outcome = disk->read();
    if (!outcome)
    {
        return failure(outcome.error().kind,
                       path + ": " + outcome.error().message);
    }
    return disk;
}

replica_disk::replica_disk(std::unique_ptr<state::file_disk> files)
    : files_(std::move(files)), hard_state_(*files_), snapshots_(*files_)
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
    auto log = state::durable_log::open(*files_, last, recovery_);
    if (!log)
    {
        return tl::unexpected(log.error());
    }
    log_ = std::move(*log);
    return {};
}

result<void> replica_disk::create(replica_id self)
{
    return hard_state_.create(self).map(
        [this] { condition_ = state::disk_condition::initialized; });
}

bool replica_disk::has_history() const
{
    return snapshot_.has_value() || !recovery_.entries.empty();
}

result<void>
replica_disk::save_founders(const protocol::replica_group& founders)
{
    if (snapshot_)
    {
        return failure(error_kind::internal, "the group is founded already");
    }
    // The leader may have sent entries before this instance knew the group.
    return snapshots_.save({{}, founders, {}})
        .and_then([this] { return read(); });
}

agreement::agreement_start
replica_disk::start(const transport::endpoint& address,
                    std::uint64_t seed) const
{
    return {hard_state_.current(), snapshot_, recovery_.entries, address, seed};
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
