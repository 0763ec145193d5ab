#pragma once

#include "control_program.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boragestand::testing
{

/// Runs control instances 1 to 3 in one process on one loop, with real sockets
/// and data directories.
class control_group
{
public:
    control_group();
    ~control_group();

    /// Starts an instance.
    result<void> start(std::uint32_t instance);

    /// Destroys an instance without a planned stop.
    void kill(std::uint32_t instance);

    /// Removes the data directory of a stopped instance.
    void delete_data(std::uint32_t instance);

    /// Runs the loop until the condition holds. Returns false after 60 s, which
    /// is far more than a slow machine needs.
    bool run_until(const std::function<bool()>& condition);

    /// Sends a request and waits for the answer.
    result<transport::http_response> ask(std::uint32_t instance,
                                         transport::http_request request);

    /// Sends a request to the leader. Retries while there is no answer or the
    /// status is 421 (not the leader) or 504.
    transport::http_response ask_leader(const transport::http_request& request);

    /// Status of an instance; null if it does not respond.
    nlohmann::json status(std::uint32_t instance);

    /// Number of a running instance that reports itself as leader; 0 if none.
    std::uint32_t leader();

    /// Whether the leader lists all three instances as voters.
    bool all_are_voters();

    std::string directory(std::uint32_t instance) const;
    transport::endpoint address(std::uint32_t instance) const;
    control::control_program& at(std::uint32_t instance)
    {
        return *programs_.at(instance);
    }
    transport::main_loop& loop() { return loop_; }

private:
    settings::control_settings make_settings(std::uint32_t instance) const;

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    std::string root_;
    std::uint32_t network_;
    settings::event_log& log_;
    std::map<std::uint32_t, std::unique_ptr<control::control_program>>
        programs_;
};

} // namespace boragestand::testing
