#pragma once

#include "coordination/coordination.hpp"

#include <functional>
#include <memory>

namespace boragestand::fleet
{

/// Polls the directory of one control instance continuously: the list of
/// upstreams, the plan and the control instances.
class directory_client
{
public:
    /// Callbacks of the owner.
    struct hooks
    {
        /// The next request; the client fills in what it knows of its replies.
        std::function<coordination::directory_request()> request;
        /// A reply arrived; full is set if it holds all records.
        std::function<void(const coordination::directory_reply&, bool full)>
            replied;
        /// A request failed; returns true to retry.
        std::function<bool(const error&)> failed;
    };

    directory_client(
        transport::main_loop& loop, transport::timer_service& timers,
        const transport::endpoint& remote, hooks callbacks,
        duration connect_timeout = transport::default_connect_timeout);

    /// Sends the first request; polls until stop() or destruction.
    void start() { send_request(); }

    /// Sends no further requests; outstanding replies are ignored.
    void stop();

    const transport::endpoint& remote() const { return remote_; }

    /// When the last reply came; none before the first.
    std::optional<time_point> last_reply() const { return last_reply_; }

private:
    void send_request();
    void handle_response(const result<transport::http_response>& response);
    void handle_failure(const error& cause);

    transport::timer_service& timers_;
    transport::endpoint remote_;
    hooks hooks_;
    transport::http2_client client_;
    transport::subscription retry_;
    std::uint64_t epoch_{0};
    std::uint64_t cursor_{0};
    bool current_{false};
    bool stopped_{false};
    std::optional<time_point> last_reply_;
};

} // namespace boragestand::fleet
