#include "replica/replica_runner.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::replica
{

namespace
{

// A finer tick would only cost wake-ups.
constexpr int ticks_per_heartbeat = 4;

// If all disks are full, each new leader refuses as well. A change of leader
// interrupts reads for some round trips, so refusals cause few of them until a
// command is committed again.
constexpr duration transfer_interval = std::chrono::seconds(30);

} // namespace

replica_runner::replica_runner(std::unique_ptr<replica_disk> disk,
                               const transport::endpoint& address,
                               std::uint64_t seed, const parts& surroundings,
                               const agreement::agreement_settings& settings,
                               std::function<void(const error&)> failed,
                               storage_reserve reserve)
    : disk_(std::move(disk))
    , address_(address)
    , seed_(seed)
    , parts_(surroundings)
    , settings_(settings)
    , failure_callback_(std::move(failed))
    , reserve_(reserve)
{
}

result<void> replica_runner::start()
{
    parts_.log.started(disk_->self(), disk_->recovery());
    auto start = disk_->start(address_, seed_);
    const auto restored = start.snapshot
                              ? parts_.machine.restore(start.snapshot->data)
                              : result<void>{};
    if (!restored)
    {
        return restored;
    }
    applied_ = start.snapshot ? start.snapshot->last.index : 0;
    make_node(std::move(start));
    ticks_ = parts_.timers.every(
        settings_.heartbeat_interval / ticks_per_heartbeat,
        [this](time_point) { step(agreement::clock_tick{}); });
    return {};
}

void replica_runner::make_node(agreement::agreement_start start)
{
    node_ = std::make_unique<agreement::agreement_node>(std::move(start),
                                                        settings_);
}

// The node in memory is ahead of the disk, as before a crash. Later effects of
// the step, such as acknowledgements and votes, are dropped, and the node
// restarts as a follower with exactly what is durable. The state machine holds
// committed entries only and stays.
void replica_runner::restart_replica(const error& cause)
{
    parts_.log.storage_full(cause, parts_.timers.now());
    requested_snapshot_.reset();
    fail_pending_requests(
        {error_kind::timeout,
         "the disk is full; the outcome is unknown: " + cause.message});
    const auto restarted = disk_->reopen().and_then(
        [this]
        {
            auto start = disk_->start(address_, ++seed_);
            start.applied = applied_;
            const bool is_newer =
                start.snapshot && start.snapshot->last.index > applied_;
            const auto restored =
                is_newer ? parts_.machine.restore(start.snapshot->data)
                         : result<void>{};
            applied_ = is_newer ? start.snapshot->last.index : applied_;
            make_node(std::move(start));
            return restored;
        });
    if (!restarted)
    {
        report_failure(restarted.error());
    }
}

void replica_runner::fail_pending_requests(const error& cause)
{
    for (const auto& [token, callback] : std::exchange(command_callbacks_, {}))
    {
        callback(tl::unexpected(cause));
    }
    for (const auto& [token, callback] : std::exchange(deferred_callbacks_, {}))
    {
        defer([answer = callback, cause] { answer(tl::unexpected(cause)); });
    }
}

void replica_runner::refuse_for_room(std::uint64_t free,
                                     const index_callback& callback)
{
    const error cause{error_kind::storage_full,
                      "the disk of the leader has " + std::to_string(free) +
                          " bytes left, of which " +
                          std::to_string(reserve_.bytes) + " are kept free"};
    const auto now = parts_.timers.now();
    parts_.log.storage_full(cause, now);
    callback(tl::unexpected(cause));
    finish_step();
    const bool is_due =
        !transferred_ || now - *transferred_ >= transfer_interval;
    if (is_due && node_->group().voter_count() > 1)
    {
        // Another disk may have room.
        transferred_ = now;
        transfer_leadership();
    }
}

// Without the figure nothing is refused before a write fails.
std::optional<std::uint64_t> replica_runner::free_space()
{
    const auto free = disk_->free_bytes();
    if (!free && !free_space_unknown_)
    {
        parts_.log.request_failed("free space", free.error());
    }
    free_space_unknown_ = !free;
    return free ? std::optional(*free) : std::nullopt;
}

// A shorter list of entries is a valid request, whose answer does not
// acknowledge the missing ones; the leader sends them again.
void replica_runner::drop_entries_without_room(
    protocol::append_request& request)
{
    auto& entries = request.entries;
    const auto free = entries.empty() ? std::nullopt : free_space();
    if (!free)
    {
        return;
    }
    const auto first = std::find_if(
        entries.begin(), entries.end(),
        [&](const protocol::log_entry& entry)
        { return !reserve_.admits_entry(*free, entry.data.size()); });
    if (first == entries.end())
    {
        return;
    }
    parts_.log.storage_full({error_kind::storage_full,
                             "entry " + std::to_string(first->index) +
                                 " is not stored: " + std::to_string(*free) +
                                 " bytes left on the disk"},
                            parts_.timers.now());
    entries.erase(first, entries.end());
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
    agreement::message_received input{envelope};
    if (auto* request =
            std::get_if<protocol::append_request>(&input.envelope.message))
    {
        drop_entries_without_room(*request);
    }
    step(std::move(input));
}

void replica_runner::submit(std::string command, index_callback callback)
{
    const auto free = free_space();
    if (!failed_ && is_leader() && free &&
        !reserve_.admits_command(*free, command.size()))
    {
        refuse_for_room(*free, callback);
        return;
    }
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
            if (outcome.error().kind == error_kind::storage_full)
            {
                restart_replica(outcome.error());
                return;
            }
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
    applied_ = effect.snapshot->last.index;
    return parts_.machine.restore(effect.snapshot->data);
}

result<void> replica_runner::run(const agreement::apply_entry& effect)
{
    if (effect.entry.kind == protocol::entry_kind::membership)
    {
        parts_.log.group_changed(effect.entry);
    }
    applied_ = effect.entry.index;
    return effect.entry.kind == protocol::entry_kind::command
               ? parts_.machine.apply(effect.entry)
               : result<void>{};
}

result<void> replica_runner::run(const agreement::proposal_done& effect)
{
    if (effect.index)
    {
        transferred_.reset();
    }
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
