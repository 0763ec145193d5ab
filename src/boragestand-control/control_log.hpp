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

    /// Logs the start with the identity on disk, and a torn log tail that was
    /// cut off.
    void started(replica_id self, const state::log_recovery& recovery) override;

    /// Logs a command that the state machine applied or rejected.
    void log_command(std::uint64_t index, std::uint64_t revision,
                     const state::command& command,
                     const state::command_outcome& outcome);

    /// Logs a request to the director or its acknowledgement.
    void log_director_request(std::string_view service, std::uint64_t episode,
                              std::string_view outcome);

    /// Logs that an entry instance reported a different revision.
    void log_revision_report(std::uint32_t instance, std::uint64_t revision);

    /// Logs why the process stops.
    void log_stop(std::string_view reason);

protected:
    /// Instance number and disk number, such as "101.437".
    std::string replica_text(replica_id id) const override;
};

} // namespace boragestand::control
