#pragma once

#include "coordination/coordination.hpp"

#include <functional>
#include <memory>

namespace boragestand::fleet
{

/// Asks one control instance for its directory, again and again.
class directory_client
{
public:
    /// Where the client takes its requests from and reports to.
    struct hooks
    {
        /// The next request; the client fills in what it knows of its replies.
        std::function<coordination::directory_request()> request;
        /// A reply came; whole says that it holds all records.
        std::function<void(const coordination::directory_reply&, bool full)>
            replied;
        /// A request failed; true to go on asking.
        std::function<bool(const error&)> failed;
    };

    directory_client(
        transport::main_loop& loop, transport::timer_service& timers,
        const transport::endpoint& remote, hooks callbacks,
        duration connect_timeout = transport::default_connect_timeout);

    /// Asks now and goes on until the client is destroyed.
    void start() { send_request(); }

    /// Asks no more; replies that are still to come are ignored.
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
