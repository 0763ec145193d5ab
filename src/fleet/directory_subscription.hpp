#pragma once

#include "fleet/directory_client.hpp"
#include "fleet/fleet_log.hpp"

#include <memory>
#include <vector>

namespace boragestand::fleet
{

/// Keeps an entry instance up to date from one control instance at a time and
/// moves on when that one does not answer, or is itself out of contact with
/// its group.
class directory_subscription
{
public:
    /// What the entry instance supplies and takes.
    struct hooks
    {
        std::function<coordination::directory_request()> request;
        /// whole says that the reply holds all records.
        std::function<void(const coordination::directory_reply&, bool whole,
                           const transport::endpoint& source)>
            replied;
    };

    /// controls are the first instances to ask; first says with which of them
    /// to begin, so that entry instances spread over them.
    directory_subscription(transport::main_loop& loop,
                           transport::timer_service& timers,
                           std::vector<transport::endpoint> controls,
                           std::size_t first, fleet_log& log, hooks callbacks);

    /// Starts to ask.
    void start() { connect("start"); }

    /// When a control instance in contact with its group replied last; none
    /// before the first.
    std::optional<time_point> last_current() const { return last_current_; }

    /// When any control instance replied last.
    std::optional<time_point> last_reply() const { return last_reply_; }

    /// The instance that is asked now.
    transport::endpoint source() const { return controls_[position_]; }

private:
    void connect(std::string_view reason);
    void move_on(std::string_view reason);
    void take(const coordination::directory_reply& reply, bool whole);
    void take_controls(const std::vector<transport::endpoint>& controls);

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    std::vector<transport::endpoint> controls_;
    std::size_t position_{0};
    fleet_log& log_;
    hooks hooks_;
    std::unique_ptr<directory_client> client_;
    transport::subscription switch_;
    std::optional<time_point> last_current_;
    std::optional<time_point> last_reply_;
    std::size_t failures_{0};      ///< in a row, of different instances
    std::size_t stale_replies_{0}; ///< in a row, of the present instance
    bool in_contact_{false};
};

} // namespace boragestand::fleet
