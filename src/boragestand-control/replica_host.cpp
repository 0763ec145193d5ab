#include "replica_host.hpp"

namespace boragestand::control
{

replica_host::replica_host(std::unique_ptr<replica::replica_disk> disk,
                           const transport::endpoint& address,
                           std::uint64_t seed, transport::timer_service& timers,
                           replica::peer_link& peers, control_log& log,
                           const hooks& callbacks)
    : machine_(log, callbacks.configuration_changed)
    , runner_(std::move(disk), address, seed, {timers, peers, machine_, log},
              agreement::agreement_settings{}, callbacks.failed)
{
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
    runner_.submit(
        {reinterpret_cast<const char*>(encoded->data()), encoded->size()},
        [this,
         callback = std::move(callback)](const result<std::uint64_t>& index)
        {
            auto outcome = index.map([this](std::uint64_t at)
                                     { return machine_.outcome_at(at); });
            runner_.defer([callback, outcome = std::move(outcome)]
                          { callback(outcome); });
        });
}

} // namespace boragestand::control
