#pragma once

#include "fleet/directory_client.hpp"
#include "fleet/fleet_log.hpp"

#include <memory>
#include <vector>

namespace boragestand::fleet
{

/// Receives directory updates for an entry instance from one control instance
/// at a time. Until one in contact with its group has replied, it queries
/// further ones in parallel and then keeps the first that is current.
class directory_subscription
{
public:
    /// Callbacks of the entry instance.
    struct hooks
    {
        std::function<coordination::directory_request()> request;
        std::function<void(const directory_update&,
                           const transport::endpoint& source)>
            replied;
    };

    /// seeds are the control instances to query first, beginning at index
    /// first, which spreads entry instances over them.
    directory_subscription(transport::main_loop& loop,
                           transport::timer_service& timers,
                           std::vector<transport::endpoint> seeds,
                           std::size_t first, fleet_log& log, hooks callbacks);

    /// Replaces the seeds, which are queried again when no known control
    /// instance answers.
    void set_seeds(std::vector<transport::endpoint> seeds);

    /// Sends the first request.
    void start() { try_next("start"); }

    /// When a control instance in contact with its group replied last; none
    /// before the first.
    std::optional<time_point> last_current() const { return last_current_; }

    /// When any control instance replied last.
    std::optional<time_point> last_reply() const { return last_reply_; }

    /// The control instance in contact, or the first one being queried.
    transport::endpoint source() const { return source_; }

    /// Client of the control instance to request a plan from: the one in
    /// contact or, while there is none, the one that names the newest version.
    /// Null if it names none above this one. Valid until the next turn of the
    /// loop.
    directory_client* plan_source(std::uint64_t version) const;

private:
    /// A control instance that is being queried.
    struct candidate
    {
        transport::endpoint control;
        std::unique_ptr<directory_client> client;
        std::size_t stale_replies{0}; ///< in a row
    };

    void try_next(std::string_view reason);
    void try_next_after(duration pause, std::string_view reason);
    std::optional<transport::endpoint> take_next_control();
    bool is_candidate(const transport::endpoint& control) const;
    bool may_add_candidate() const;
    void handle_failure(const transport::endpoint& control,
                        std::string_view reason);
    void handle_reply(const transport::endpoint& control,
                      const directory_update& update);
    void handle_stale_reply(const transport::endpoint& control);
    void handle_current_reply(const transport::endpoint& control);
    void update_controls(const std::vector<transport::endpoint>& controls);
    void report_contact_lost(std::string_view reason);
    void stop_client(const transport::endpoint& control);
    void add_seeds();
    duration connect_timeout() const;

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    std::vector<transport::endpoint> seeds_;
    std::vector<transport::endpoint> controls_; ///< queried in turn
    std::size_t position_{0}; ///< of the control instance to query next
    fleet_log& log_;
    hooks hooks_;
    std::vector<candidate> candidates_;
    /// Clients whose callback may still be running; destroyed on a later turn.
    std::vector<std::unique_ptr<directory_client>> stopped_clients_;
    transport::subscription next_;
    transport::endpoint source_;
    std::optional<time_point> last_current_;
    std::optional<time_point> last_reply_;
    std::size_t failures_{0}; ///< in a row
    bool in_contact_{false};
};

} // namespace boragestand::fleet
