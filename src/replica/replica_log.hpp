#pragma once

#include "agreement/agreement.hpp"

#include <string_view>

namespace boragestand::replica
{

/// Receives the events of a replica for the log of its program.
class replica_log
{
public:
    virtual ~replica_log() = default;

    /// The process runs with the identity on its disk.
    virtual void started(replica_id self,
                         const state::log_recovery& recovery) = 0;

    /// The first group is known and durable.
    virtual void founded(const protocol::replica_group& group) = 0;

    /// Role, term or known leader changed.
    virtual void role_changed(const agreement::role_changed& change) = 0;

    /// A membership entry took effect.
    virtual void group_changed(const protocol::log_entry& entry) = 0;

    /// A snapshot was taken or came from the leader.
    virtual void snapshot_stored(const protocol::agreement_snapshot& snapshot,
                                 bool installed) = 0;

    /// The disk is new although the group knows this instance.
    virtual void disk_replaced(replica_id self, replica_id replaced) = 0;

    /// A request of a peer was answered with an error.
    virtual void request_failed(std::string_view path, const error& cause) = 0;

    /// Invalid input was rejected; logged at a bounded rate for each input.
    virtual void bad_input(std::string_view input, const error& cause,
                           const transport::endpoint& source,
                           time_point now) = 0;

    /// A change was refused, or could not be stored, for lack of disk space;
    /// logged at a bounded rate.
    virtual void storage_full(const error& cause, time_point now) = 0;

    /// The replica must stop because of an error.
    virtual void failed(const error& cause) = 0;
};

} // namespace boragestand::replica
