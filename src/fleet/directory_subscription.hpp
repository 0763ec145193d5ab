#pragma once

#include "fleet/directory_client.hpp"
#include "fleet/fleet_log.hpp"

#include <memory>
#include <vector>

namespace boragestand::fleet
{

/// Keeps an entry instance up to date from one control instance at a time.
/// While none in contact with its group has answered, it asks further ones
/// beside the first, and stays with the first that is current.
class directory_subscription
{
public:
    /// What the entry instance supplies and takes.
    struct hooks
    {
        std::function<coordination::directory_request()> request;
        /// whole says that the reply holds all records.
        std::function<void(const coordination::directory_reply&, bool full,
                           const transport::endpoint& source)>
            replied;
    };

    /// seeds are the first instances to ask; first says with which of them to
    /// begin, so that entry instances spread over them.
    directory_subscription(transport::main_loop& loop,
                           transport::timer_service& timers,
                           std::vector<transport::endpoint> seeds,
                           std::size_t first, fleet_log& log, hooks callbacks);

    /// Replaces the seeds. They are asked again when no instance that is known
    /// answers.
    void set_seeds(std::vector<transport::endpoint> seeds);

    /// Starts to ask.
    void start() { try_next("start"); }

    /// When a control instance in contact with its group replied last; none
    /// before the first.
    std::optional<time_point> last_current() const { return last_current_; }

    /// When any control instance replied last.
    std::optional<time_point> last_reply() const { return last_reply_; }

    /// The instance that is in contact, or was asked last.
    transport::endpoint source() const { return source_; }

private:
    /// A control instance that is asked.
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
                      const coordination::directory_reply& reply, bool full);
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
    std::vector<transport::endpoint> controls_; ///< to ask, in turn
    std::size_t position_{0}; ///< of the control instance to ask next
    fleet_log& log_;
    hooks hooks_;
    std::vector<candidate> candidates_;
    /// Clients that may be running one of their callbacks.
    std::vector<std::unique_ptr<directory_client>> stopped_clients_;
    transport::subscription next_;
    transport::endpoint source_;
    std::optional<time_point> last_current_;
    std::optional<time_point> last_reply_;
    std::size_t failures_{0}; ///< in a row
    bool in_contact_{false};
};

} // namespace boragestand::fleet
