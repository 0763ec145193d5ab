#pragma once

#include "control_log.hpp"
#include "replica_host.hpp"

#include <memory>

namespace boragestand::control
{

/// Answers requests that run a command: release notes, agreements and drains.
class command_service
{
public:
    using exchange = std::shared_ptr<transport::http_exchange>;

    command_service(replica_host& host, transport::timer_service& timers,
                    control_log& log);

    /// Proposes the command of a request. The response is sent after a majority
    /// has synced the command to disk and this instance has applied it.
    void handle(const transport::http_request& request, const exchange& answer);

private:
    void check_and_propose(const state::command& command,
                           const std::string& path, const exchange& answer);
    bool is_invalid(const state::command& command,
                    std::vector<document::fault>& faults) const;
    void propose(const state::command& command, const std::string& path,
                 const exchange& answer);
    void refuse(const error& cause, const std::string& path,
                const exchange& answer);

    replica_host& host_;
    transport::timer_service& timers_;
    control_log& log_;
};

} // namespace boragestand::control
