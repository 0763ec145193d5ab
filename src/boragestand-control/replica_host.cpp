#include "replica_host.hpp"

namespace boragestand::control
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(25);

std::string to_string(const std::vector<std::byte>& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::byte> to_bytes(const std::string& text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

} // namespace

replica_host::replica_host(std::unique_ptr<replica_disk> disk,
                           const transport::endpoint& address,
                           std::uint64_t seed, transport::timer_service& timers,
                           peer_link& peers, control_log& log, hooks callbacks)
    : disk_(std::move(disk))
    , address_(address)
    , seed_(seed)
    , timers_(timers)
    , peers_(peers)
    , log_(log)
    , callbacks_(std::move(callbacks))
{
}

result<void> replica_host::start()
{
    auto start = disk_->start(address_, seed_);
    const auto restored =
        start.snapshot ? restore(start.snapshot->data) : result<void>{};
    if (!restored)
    {
        return restored;
    }
    node_ = std::make_unique<coordination::agreement_node>(
        std::move(start), coordination::agreement_settings{});
    log_.started(disk_->self(), disk_->recovery());
    ticks_ = timers_.every(tick_interval, [this](time_point)
                           { step(coordination::clock_tick{}); });
    return {};
}

void replica_host::found(const protocol::replica_group& founders)
{
    const auto outcome = disk_->save_founders(founders).and_then(
        [&]
        {
            log_.founded(founders);
            return start();
        });
    if (!outcome)
    {
        stop_for(outcome.error());
    }
}

void replica_host::stop_for(const error& cause)
{
    failed_ = true;
    log_.failed(cause);
    callbacks_.failed(cause);
}

result<void> replica_host::restore(const std::string& data)
{
    if (data.empty())
    {
        state_ = state::control_state();
        return {};
    }
    auto decoded = state::control_state::decode_snapshot(to_bytes(data));
    if (!decoded)
    {
        return failure(error_kind::storage_corrupt,
                       "snapshot does not decode: " + decoded.error().message);
    }
    state_ = std::move(*decoded);
    return {};
}

bool replica_host::is_leader() const
{
    return node_->role() == coordination::agreement_role::leader;
}

std::optional<transport::endpoint> replica_host::leader_address() const
{
    const auto* leader = node_->group().find(node_->leader());
    return leader == nullptr ? std::nullopt : std::optional(leader->address);
}

void replica_host::receive(const protocol::agreement_envelope& envelope)
{
    step(coordination::message_received{envelope});
}

void replica_host::submit(const state::command& command,
                          command_callback callback)
{
    const auto encoded = state::encode_command(command);
    if (!encoded)
    {
        callback(tl::unexpected(encoded.error()));
        return;
    }
    const auto token = next_token_++;
    commands_.emplace(token, std::move(callback));
    step(coordination::proposal{token, to_string(*encoded)});
}

void replica_host::change(const coordination::membership_change& change,
                          index_callback callback)
{
    const auto token = next_token_++;
    indexes_.emplace(token, std::move(callback));
    step(coordination::membership_proposal{token, change});
}

void replica_host::read(index_callback callback)
{
    const auto token = next_token_++;
    indexes_.emplace(token, std::move(callback));
    step(coordination::read_request{token});
}

void replica_host::hand_over()
{
    step(coordination::hand_over_leadership{});
}

void replica_host::step(decltype(coordination::agreement_event::input) input)
{
    if (failed_)
    {
        return;
    }
    carry_out(node_->step({timers_.now(), std::move(input)}));
    if (!failed_ && wanted_snapshot_)
    {
        const coordination::snapshot_taken taken{
            *std::exchange(wanted_snapshot_, std::nullopt),
            to_string(state_.encode_snapshot())};
        carry_out(node_->step({timers_.now(), taken}));
    }
    finish_step();
}

void replica_host::carry_out(const coordination::agreement_effects& effects)
{
    for (const auto& effect : effects)
    {
        const auto outcome = std::visit(
            [this](const auto& value) { return run(value); }, effect);
        if (!outcome)
        {
            // What follows, such as messages, may rely on this effect.
            stop_for(outcome.error());
            return;
        }
    }
}

// Answers run last: they may submit again.
void replica_host::finish_step()
{
    outcomes_.clear();
    const auto revision = state_.current()->revision;
    if (!failed_ && revision != published_revision_)
    {
        published_revision_ = revision;
        callbacks_.configuration_changed();
    }
    for (const auto& answer : std::exchange(answers_, {}))
    {
        answer();
    }
}

result<void> replica_host::run(const coordination::persist_hard_state& effect)
{
    return disk_->carry_out(effect);
}

result<void> replica_host::run(const coordination::persist_snapshot& effect)
{
    return disk_->carry_out(effect).map(
        [&] { log_.snapshot_stored(*effect.snapshot, effect.installed); });
}

result<void> replica_host::run(const coordination::persist_entries& effect)
{
    return disk_->carry_out(effect);
}

result<void> replica_host::run(const coordination::send_message& effect)
{
    peers_.send(effect);
    return {};
}

result<void> replica_host::run(const coordination::restore_snapshot& effect)
{
    return restore(effect.snapshot->data);
}

result<void> replica_host::run(const coordination::apply_entry& effect)
{
    const auto& entry = effect.entry;
    if (entry.kind == protocol::entry_kind::membership)
    {
        log_.group_changed(entry);
    }
    if (entry.kind != protocol::entry_kind::command)
    {
        return {};
    }
    const auto command = state::decode_command(to_bytes(entry.data));
    if (!command)
    {
        return failure(error_kind::storage_corrupt,
                       "entry " + std::to_string(entry.index) +
                           " does not decode: " + command.error().message);
    }
    auto outcome = state_.apply(*command);
    log_.command_applied(entry.index, state_.current()->revision, *command,
                         outcome);
    outcomes_.emplace(entry.index, std::move(outcome));
    return {};
}

result<void> replica_host::run(const coordination::proposal_done& effect)
{
    answer(effect.token, effect.index);
    return {};
}

result<void> replica_host::run(const coordination::read_done& effect)
{
    answer(effect.token, effect.index);
    return {};
}

void replica_host::answer(std::uint64_t token,
                          const result<std::uint64_t>& index)
{
    if (auto waiting = indexes_.extract(token))
    {
        answers_.emplace_back([callback = std::move(waiting.mapped()), index]
                              { callback(index); });
        return;
    }
    auto waiting = commands_.extract(token);
    if (!waiting)
    {
        return;
    }
    auto outcome =
        index.map([this](std::uint64_t at) { return outcomes_.at(at); });
    answers_.emplace_back(
        [callback = std::move(waiting.mapped()), outcome = std::move(outcome)]
        { callback(outcome); });
}

result<void> replica_host::run(const coordination::snapshot_wanted& effect)
{
    wanted_snapshot_ = effect.index;
    return {};
}

result<void> replica_host::run(const coordination::role_changed& effect)
{
    log_.role_changed(effect);
    return {};
}

result<void> replica_host::run(const coordination::invariant_broken& effect)
{
    return failure(error_kind::internal, effect.what);
}

} // namespace boragestand::control
