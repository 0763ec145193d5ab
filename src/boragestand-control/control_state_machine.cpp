#include "control_state_machine.hpp"

#include <utility>

namespace boragestand::control
{

namespace
{

std::span<const std::byte> to_bytes(const std::string& text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

} // namespace

control_state_machine::control_state_machine(
    control_log& log, std::function<void()> configuration_changed)
    : log_(log), configuration_changed_(std::move(configuration_changed))
{
}

result<void> control_state_machine::apply(const protocol::log_entry& entry)
{
    const auto command = state::decode_command(to_bytes(entry.data));
    if (!command)
    {
        return failure(error_kind::storage_corrupt,
                       "entry " + std::to_string(entry.index) +
                           " does not decode: " + command.error().message);
    }
    auto outcome = state_.apply(*command);
    log_.log_command(entry.index, state_.current()->revision, *command,
                     outcome);
    outcomes_.emplace(entry.index, std::move(outcome));
    return {};
}

std::string control_state_machine::snapshot() const
{
    const auto bytes = state_.encode_snapshot();
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

result<void> control_state_machine::restore(const std::string& data)
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

void control_state_machine::finish_step()
{
    outcomes_.clear();
    const auto revision = state_.current()->revision;
    if (revision != published_revision_)
    {
        published_revision_ = revision;
        configuration_changed_();
    }
}

} // namespace boragestand::control
