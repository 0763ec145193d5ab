#pragma once

#include "replica/replica_log.hpp"
#include "settings/settings.hpp"

#include <string>

namespace boragestand::replica
{

/// Writes the events of a replica as lines of an event_log. Programs differ in
/// how they name a replica and in the line at the start.
class replica_event_log : public replica_log
{
public:
    explicit replica_event_log(settings::event_log& log) : log_(log) {}

    void founded(const protocol::replica_group& group) override;
    void role_changed(const agreement::role_changed& change) override;
    void group_changed(const protocol::log_entry& entry) override;
    void snapshot_stored(const protocol::agreement_snapshot& snapshot,
                         bool installed) override;
    void disk_replaced(replica_id self, replica_id replaced) override;
    void request_failed(std::string_view path, const error& cause) override;
    void bad_input(std::string_view input, const error& cause,
                   const transport::endpoint& source, time_point now) override;
    void storage_full(const error& cause, time_point now) override;
    void failed(const error& cause) override;

    settings::event_log& lines() { return log_; }

protected:
    /// The text that identifies a replica in log lines.
    virtual std::string replica_text(replica_id id) const = 0;

private:
    settings::event_log& log_;
};

} // namespace boragestand::replica
