#pragma once

#include "replica/replica_log.hpp"
#include "settings/settings.hpp"

#include <string_view>

namespace boragestand::control
{

/// Writes the log lines of a control instance.
class control_log final : public replica::replica_log
{
public:
    explicit control_log(settings::event_log& log) : log_(log) {}

    /// The process runs with the identity on its disk.
    void started(replica_id self, const state::log_recovery& recovery) override;

    /// The first group is known and durable.
    void founded(const protocol::replica_group& group) override;

    /// The disk is new although the group knows this instance.
    void disk_replaced(replica_id self, replica_id replaced) override;

    /// Role, term or known leader changed.
    void role_changed(const coordination::role_changed& change) override;

    /// A membership entry took effect.
    void group_changed(const protocol::log_entry& entry) override;

    /// A command took effect or was turned away by the state machine.
    void command_applied(std::uint64_t index, std::uint64_t revision,
                         const state::command& command,
                         const state::command_outcome& outcome);

    /// A snapshot was taken or came from the leader.
    void snapshot_stored(const protocol::agreement_snapshot& snapshot,
                         bool installed) override;

    /// A request was answered with an error.
    void request_failed(std::string_view path, const error& cause) override;

    /// Input that could not be used; at a bounded rate for each cause.
    void bad_input(std::string_view input, const error& cause,
                   const transport::endpoint& source, time_point now) override;

    /// The director was asked, and whether it has acknowledged.
    void director_woken(std::string_view service, std::uint64_t episode,
                        std::string_view outcome);

    /// An entry instance reported another revision.
    void revision_reported(std::uint32_t instance, std::uint64_t revision);

    /// The process stops, and why.
    void stopping(std::string_view reason);

    /// The process cannot go on.
    void failed(const error& cause) override;

private:
    settings::event_log& log_;
};

} // namespace boragestand::control
