#include "simulated_replica.hpp"

#include <stdexcept>

namespace boragestand::testing
{

namespace
{

void throw_on_error(const result<void>& outcome)
{
    if (!outcome)
    {
        throw std::runtime_error(outcome.error().message);
    }
}

constexpr std::uint64_t test_segment_size = 256;

} // namespace

simulated_replica::simulated_replica(std::uint32_t instance, std::uint64_t seed,
                                     agreement::agreement_settings settings,
                                     replica_observer& observer)
    : instance_(instance)
    , seed_(seed)
    , settings_(settings)
    , observer_(observer)
    , disk_(seed)
{
}

void simulated_replica::create(
    const std::optional<protocol::replica_group>& founders)
{
    identity_ = replica_id{(std::uint64_t{instance_} << 32) | generation_};
    state::hard_state_store hard(disk_);
    throw_on_error(hard.create(identity_));
    if (founders)
    {
        throw_on_error(state::snapshot_store(disk_).save({{}, *founders, {}}));
    }
}

void simulated_replica::start()
{
    try
    {
        recover();
    }
    catch (const simulated_crash&)
    {
        kill();
    }
}

void simulated_replica::recover()
{
    hard_state_ = std::make_unique<state::hard_state_store>(disk_);
    snapshots_ = std::make_unique<state::snapshot_store>(disk_);
    const auto condition = hard_state_->inspect();
    auto snapshot = snapshots_->load();
    if (!condition || !snapshot)
    {
        throw std::runtime_error(condition ? snapshot.error().message
                                           : condition.error().message);
    }
    state::log_recovery recovery;
    const auto last = *snapshot ? (*snapshot)->last : protocol::log_position{};
    auto log =
        state::durable_log::open(disk_, last, recovery, test_segment_size);
    if (!log)
    {
        throw std::runtime_error(log.error().message);
    }
    log_ = std::move(*log);
    entries_.clear();
    for (const auto& entry : recovery.entries)
    {
        entries_.emplace(entry.index, entry);
    }
    restore(*snapshot ? (*snapshot)->data : std::string());
    node_ = std::make_unique<agreement::agreement_node>(
        agreement::agreement_start{hard_state_->current(), *snapshot,
                                   recovery.entries, address(), ++seed_},
        settings_);
}

void simulated_replica::kill()
{
    node_.reset();
    queued_events_.clear();
    frozen_ = false;
    requested_snapshot_.reset();
    disk_.lose_unsynced();
}

void simulated_replica::lose_disk()
{
    if (running())
    {
        kill();
    }
    disk_.lose_all();
    previous_identity_ = identity_;
    ++generation_;
    create(std::nullopt);
    start();
}

void simulated_replica::thaw(time_point now)
{
    frozen_ = false;
    auto waiting = std::move(queued_events_);
    queued_events_.clear();
    for (auto& event : waiting)
    {
        event.now = now;
        step(event);
    }
}

void simulated_replica::step(const agreement::agreement_event& event)
{
    if (!running())
    {
        return;
    }
    if (frozen_)
    {
        queued_events_.push_back(event);
        return;
    }
    try
    {
        carry_out(node_->step(event), event.now);
    }
    catch (const simulated_crash&)
    {
        kill();
    }
}

void simulated_replica::carry_out(const agreement::agreement_effects& effects,
                                  time_point now)
{
    for (const auto& effect : effects)
    {
        std::visit([this](const auto& value) { run(value); }, effect);
    }
    if (requested_snapshot_)
    {
        const auto index = *requested_snapshot_;
        requested_snapshot_.reset();
        carry_out(node_->step(
                      {now, agreement::snapshot_taken{index, encoded_state()}}),
                  now);
    }
}

bool simulated_replica::leads() const
{
    return running() && node_->role() == agreement::agreement_role::leader;
}

bool simulated_replica::holds(const std::string& command) const
{
    return known_commands_.contains(command);
}

void simulated_replica::run(const agreement::persist_hard_state& effect)
{
    throw_on_error(hard_state_->save(effect.value));
}

void simulated_replica::run(const agreement::persist_snapshot& effect)
{
    const auto last = effect.snapshot->last;
    throw_on_error(snapshots_->save(*effect.snapshot));
    throw_on_error(effect.installed ? log_->reset(last)
                                    : log_->compact(last.index));
    if (effect.installed)
    {
        entries_.clear();
    }
    entries_.erase(entries_.begin(), entries_.upper_bound(last.index));
}

void simulated_replica::run(const agreement::persist_entries& effect)
{
    throw_on_error(log_->append(effect.entries));
    entries_.erase(entries_.lower_bound(effect.entries.front().index),
                   entries_.end());
    for (const auto& entry : effect.entries)
    {
        entries_.emplace(entry.index, entry);
    }
}

void simulated_replica::run(const agreement::send_message& effect)
{
    observer_.sent(instance_, effect);
}

void simulated_replica::run(const agreement::restore_snapshot& effect)
{
    restore(effect.snapshot->data);
    observer_.restored(instance_, *effect.snapshot);
}

void simulated_replica::run(const agreement::apply_entry& effect)
{
    const auto& entry = effect.entry;
    if (entry.kind == protocol::entry_kind::command &&
        known_commands_.insert(entry.data).second)
    {
        commands_.push_back(entry.data);
    }
    observer_.applied(instance_, entry, encoded_state());
}

void simulated_replica::run(const agreement::proposal_done& effect)
{
    observer_.answered(effect.token, effect.index);
}

void simulated_replica::run(const agreement::read_done& effect)
{
    observer_.answered(effect.token, effect.index);
}

void simulated_replica::run(const agreement::snapshot_requested& effect)
{
    requested_snapshot_ = effect.index;
}

void simulated_replica::run(const agreement::role_changed& effect)
{
    if (effect.role == agreement::agreement_role::leader)
    {
        observer_.became_leader(instance_, effect.term);
    }
}

void simulated_replica::run(const agreement::invariant_broken& effect)
{
    observer_.invariant_broken(instance_, effect.what);
}

void simulated_replica::restore(const std::string& data)
{
    commands_.clear();
    known_commands_.clear();
    std::size_t begin = 0;
    while (begin < data.size())
    {
        const auto end = data.find('\n', begin);
        commands_.push_back(data.substr(begin, end - begin));
        known_commands_.insert(commands_.back());
        begin = end + 1;
    }
}

std::string simulated_replica::encoded_state() const
{
    std::string text;
    for (const auto& command : commands_)
    {
        text += command + "\n";
    }
    return text;
}

} // namespace boragestand::testing
