#include "replica/replica_runner.hpp"

#include <utility>

namespace boragestand::replica
{

namespace
{

// A finer tick would only cost wake-ups.
constexpr int ticks_per_heartbeat = 4;

} // namespace

replica_runner::replica_runner(std::unique_ptr<replica_disk> disk,
                               const transport::endpoint& address,
                               std::uint64_t seed, const parts& surroundings,
                               const agreement::agreement_settings& settings,
                               std::function<void(const error&)> failed)
    : disk_(std::move(disk))
    , address_(address)
    , seed_(seed)
    , parts_(surroundings)
    , settings_(settings)
    , failure_callback_(std::move(failed))
{
}

result<void> replica_runner::start()
{
    auto start = disk_->start(address_, seed_);
    const auto restored = start.snapshot
                              ? parts_.machine.restore(start.snapshot->data)
                              : result<void>{};
    if (!restored)
    {
        return restored;
    }
    node_ = std::make_unique<agreement::agreement_node>(std::move(start),
                                                        settings_);
    parts_.log.started(disk_->self(), disk_->recovery());
    ticks_ = parts_.timers.every(
        settings_.heartbeat_interval / ticks_per_heartbeat,
        [this](time_point) { step(agreement::clock_tick{}); });
    return {};
}

void replica_runner::found(const protocol::replica_group& founders)
{
    const auto outcome = disk_->save_founders(founders).and_then(
        [&]
        {
            parts_.log.founded(founders);
            return start();
        });
    if (!outcome)
    {
        report_failure(outcome.error());
    }
}

void replica_runner::report_failure(const error& cause)
{
    failed_ = true;
    parts_.log.failed(cause);
    failure_callback_(cause);
}

bool replica_runner::is_leader() const
{
    return node_->role() == agreement::agreement_role::leader;
}

std::optional<transport::endpoint> replica_runner::leader_address() const
{
    const auto* leader = node_->group().find(node_->leader());
    return leader == nullptr ? std::nullopt : std::optional(leader->address);
}

void replica_runner::receive(const protocol::agreement_envelope& envelope)
{
    step(agreement::message_received{envelope});
}

void replica_runner::submit(std::string command, index_callback callback)
{
    const auto token = next_token_++;
    command_callbacks_.emplace(token, std::move(callback));
    step(agreement::proposal{token, std::move(command)});
}

void replica_runner::change(const agreement::membership_change& change,
                            index_callback callback)
{
    const auto token = next_token_++;
    deferred_callbacks_.emplace(token, std::move(callback));
    step(agreement::membership_proposal{token, change});
}

void replica_runner::read(index_callback callback)
{
    const auto token = next_token_++;
    deferred_callbacks_.emplace(token, std::move(callback));
    step(agreement::read_request{token});
}

void replica_runner::defer(std::function<void()> callback)
{
    end_of_step_callbacks_.push_back(std::move(callback));
}

void replica_runner::transfer_leadership()
{
    step(agreement::leadership_transfer_requested{});
}

void replica_runner::step(decltype(agreement::agreement_event::input) input)
{
    if (failed_)
    {
        return;
    }
    carry_out(node_->step({parts_.timers.now(), std::move(input)}));
    if (!failed_ && requested_snapshot_)
    {
        const agreement::snapshot_taken taken{
            *std::exchange(requested_snapshot_, std::nullopt),
            parts_.machine.snapshot()};
        carry_out(node_->step({parts_.timers.now(), taken}));
    }
    finish_step();
}

void replica_runner::carry_out(const agreement::agreement_effects& effects)
{
    for (const auto& effect : effects)
    {
        const auto outcome = std::visit(
            [this](const auto& value) { return run(value); }, effect);
        if (!outcome)
        {
            // Later effects, such as messages, may depend on this one.
            report_failure(outcome.error());
            return;
        }
    }
}

// Callbacks run last because they may submit further commands.
void replica_runner::finish_step()
{
    if (!failed_)
    {
        parts_.machine.finish_step();
    }
    for (const auto& answer : std::exchange(end_of_step_callbacks_, {}))
    {
        answer();
    }
}

result<void> replica_runner::run(const agreement::persist_hard_state& effect)
{
    return disk_->carry_out(effect);
}

result<void> replica_runner::run(const agreement::persist_snapshot& effect)
{
    return disk_->carry_out(effect).map(
        [&]
        { parts_.log.snapshot_stored(*effect.snapshot, effect.installed); });
}

result<void> replica_runner::run(const agreement::persist_entries& effect)
{
    return disk_->carry_out(effect);
}

result<void> replica_runner::run(const agreement::send_message& effect)
{
    parts_.peers.send(effect);
    return {};
}

result<void> replica_runner::run(const agreement::restore_snapshot& effect)
{
    return parts_.machine.restore(effect.snapshot->data);
}

result<void> replica_runner::run(const agreement::apply_entry& effect)
{
    if (effect.entry.kind == protocol::entry_kind::membership)
    {
        parts_.log.group_changed(effect.entry);
    }
    return effect.entry.kind == protocol::entry_kind::command
               ? parts_.machine.apply(effect.entry)
               : result<void>{};
}

result<void> replica_runner::run(const agreement::proposal_done& effect)
{
    complete_request(effect.token, effect.index);
    return {};
}

result<void> replica_runner::run(const agreement::read_done& effect)
{
    complete_request(effect.token, effect.index);
    return {};
}

void replica_runner::complete_request(std::uint64_t token,
                                      const result<std::uint64_t>& index)
{
    if (auto waiting = command_callbacks_.extract(token))
    {
        waiting.mapped()(index);
        return;
    }
    if (auto waiting = deferred_callbacks_.extract(token))
    {
        defer([callback = std::move(waiting.mapped()), index]
              { callback(index); });
    }
}

result<void> replica_runner::run(const agreement::snapshot_requested& effect)
{
    requested_snapshot_ = effect.index;
    return {};
}

result<void> replica_runner::run(const agreement::role_changed& effect)
{
    parts_.log.role_changed(effect);
    return {};
}

result<void> replica_runner::run(const agreement::invariant_broken& effect)
{
    return failure(error_kind::internal, effect.what);
}

} // namespace boragestand::replica
