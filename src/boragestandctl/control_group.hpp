#pragma once

#include "state/state.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace boragestand::ctl
{

/// Limits of the requests of one command.
struct group_limits
{
    /// Time for the whole command.
    duration timeout{std::chrono::seconds(10)};
    /// Time for one request to one instance, so that one that does not answer
    /// leaves time for the others.
    duration attempt{std::chrono::seconds(2)};
    /// Pause after all instances were tried, while they elect a leader.
    duration pause{std::chrono::milliseconds(200)};
};

/// An answer with the instance that gave it.
struct group_answer
{
    transport::endpoint from;
    result<transport::http_response> response;
};

/// The control instances as a command sees them. Calls run the main loop until
/// their answer is there.
class control_group
{
public:
    control_group(transport::main_loop& loop, transport::timer_service& timers,
                  std::vector<transport::endpoint> control,
                  const group_limits& limits);

    /// Sends a request until the leader answers it: to the instance that is
    /// named as leader, else to the next one. A resend has the same headers,
    /// so a command runs once. The last error when the time is over.
    result<transport::http_response>
    ask_leader(const transport::http_request& request);

    /// Sends a request to one instance after the other until one answers with
    /// success; else the last answer.
    result<transport::http_response>
    ask_any(const transport::http_request& request);

    /// Sends a request to one endpoint, which may be an entry instance.
    result<transport::http_response> ask(const transport::endpoint& target,
                                         transport::http_request request);

    /// Sends a request to all instances at the same time.
    std::vector<group_answer> ask_all(const transport::http_request& request);

    /// Adds an instance that another one named.
    void learn(const transport::endpoint& instance);

    /// Lets time pass, up to the end of the command.
    void wait(duration time);

    /// Whether the time for the command is over.
    bool is_over() const;

private:
    transport::http2_client& client_for(const transport::endpoint& target);
    duration time_for_attempt() const;
    std::optional<transport::endpoint>
    leader_named_by(const result<transport::http_response>& response) const;
    transport::endpoint next_after(const transport::endpoint& tried) const;

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    std::vector<transport::endpoint> control_;
    group_limits limits_;
    time_point deadline_;
    std::map<transport::endpoint, std::unique_ptr<transport::http2_client>>
        clients_;
};

} // namespace boragestand::ctl
