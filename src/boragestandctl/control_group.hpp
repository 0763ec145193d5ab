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
    /// Timeout of the whole command.
    duration timeout{std::chrono::seconds(10)};
    /// Timeout of one request to one instance, so that an instance that does
    /// not answer leaves time for the others.
    duration attempt_timeout{std::chrono::seconds(2)};
    /// Delay after each round over all instances, so that they can elect a
    /// leader.
    duration retry_delay{std::chrono::milliseconds(200)};
};

/// A response and the instance that sent it.
struct group_answer
{
    transport::endpoint from;
    result<transport::http_response> response;
};

/// Client of the control instances. Its calls block: they run the main loop
/// until the response has arrived.
class control_group
{
public:
    control_group(transport::main_loop& loop, transport::timer_service& timers,
                  std::vector<transport::endpoint> control,
                  const group_limits& limits);

    /// Sends a request until the leader answers it: to the instance named as
    /// leader in the last response, else to the next one. Retries carry the
    /// same request identity in their headers, so a command runs only once.
    /// Returns the last meaningful error after the command timeout.
    result<transport::http_response>
    ask_leader(const transport::http_request& request);

    /// Sends a request to one instance after the other until a response needs
    /// no retry. Returns that response, or the last one.
    result<transport::http_response>
    ask_any(const transport::http_request& request);

    /// Sends a request to one endpoint, which may be an entry instance.
    result<transport::http_response> ask(const transport::endpoint& target,
                                         transport::http_request request);

    /// Sends a request to all instances concurrently.
    std::vector<group_answer> ask_all(const transport::http_request& request);

    /// Adds a control instance that is not known yet.
    void add_instance(const transport::endpoint& instance);

    /// Runs the main loop for this time, at most until the command timeout.
    void wait(duration time);

    /// Whether the command timeout has passed.
    bool has_timed_out() const;

private:
    transport::http2_client& client_for(const transport::endpoint& target);
    duration compute_attempt_timeout() const;
    std::optional<transport::endpoint>
    parse_leader_header(const result<transport::http_response>& response) const;
    transport::endpoint
    next_instance_after(const transport::endpoint& tried) const;

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    std::vector<transport::endpoint> control_;
    group_limits limits_;
    time_point deadline_;
    std::map<transport::endpoint, std::unique_ptr<transport::http2_client>>
        clients_;
};

} // namespace boragestand::ctl
