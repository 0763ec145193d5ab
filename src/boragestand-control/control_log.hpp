#pragma once

#include "replica/replica_event_log.hpp"

#include <string_view>

namespace boragestand::control
{

/// Writes the log lines of a control instance.
class control_log final : public replica::replica_event_log
{
public:
    using replica_event_log::replica_event_log;

    /// The process runs with the identity on its disk.
    void started(replica_id self, const state::log_recovery& recovery) override;

    /// A command took effect or was turned away by the state machine.
    void command_applied(std::uint64_t index, std::uint64_t revision,
                         const state::command& command,
                         const state::command_outcome& outcome);

    /// The director was asked, and whether it has acknowledged.
    void director_woken(std::string_view service, std::uint64_t episode,
                        std::string_view outcome);

    /// An entry instance reported another revision.
    void revision_reported(std::uint32_t instance, std::uint64_t revision);

    /// The process stops, and why.
    void stopping(std::string_view reason);

protected:
    /// Number of the instance and of its disk: "101.437".
    std::string replica_text(replica_id id) const override;
};

} // namespace boragestand::control
