#pragma once

#include "fleet/directory_subscription.hpp"
#include "fleet/plan_follower.hpp"
#include "traffic/traffic.hpp"

#include <functional>
#include <utility>

namespace boragestand::fleet
{

/// Settings of an entry instance.
struct entry_node_settings
{
    transport::endpoint address; ///< identifies this one to other instances
    std::string data_centre;
    std::vector<transport::endpoint>
        seeds; ///< control instances to query first
    traffic::token_router_settings router;
};

/// An entry instance of a fleet with automatic discovery. Routes packets by
/// token with the plan and upstreams received from a control instance.
class entry_node
{
public:
    entry_node(transport::main_loop& loop, transport::timer_service& timers,
               const entry_node_settings& settings, fleet_log& log);

    /// Starts to query control instances.
    void start() { directory_.start(); }

    /// Control instances to query when no known one answers.
    void set_seeds(std::vector<transport::endpoint> seeds)
    {
        directory_.set_seeds(std::move(seeds));
    }

    /// Called once, when the first plan is in force.
    void on_first_plan(std::function<void()> callback)
    {
        first_plan_callback_ = std::move(callback);
    }

    /// Returns what to do with one packet.
    traffic::token_decision decide(const traffic::token_packet& packet,
                                   time_point now);

    /// Reports that many packets wait; see token_router::report_backlog.
    void report_backlog(time_point now) { router_.report_backlog(now); }

    /// Whether new flows can be placed: a plan is in force that was confirmed,
    /// or no control instance could confirm one within ready_without_contact.
    bool is_ready() const;

    /// Metrics in the Prometheus text format.
    std::string metrics(time_point now) const;

    /// Time since the last reply; none before the first.
    std::optional<duration> directory_age(time_point now) const;

    /// When a control instance in contact with its group replied last.
    std::optional<time_point> last_current() const
    {
        return directory_.last_current();
    }

    /// The control instance that supplies the directory.
    transport::endpoint source() const { return directory_.source(); }

    const traffic::token_router& router() const { return router_; }

private:
    coordination::directory_request make_request();
    void apply_update(const directory_update& update,
                      const transport::endpoint& source);
    void put_into_force(const coordination::plan_update& update,
                        const transport::endpoint& source);
    std::string make_load_report(time_point now);
    void apply_load(const std::string& aggregate,
                    const transport::endpoint& source, time_point asked_at);
    void apply_evacuations(
        const std::vector<coordination::evacuation_notice>& received,
        const transport::endpoint& source);

    transport::timer_service& timers_;
    entry_node_settings settings_;
    fleet_log& log_;
    traffic::token_router router_;
    std::vector<coordination::evacuation_notice> evacuations_;
    plan_follower plan_;
    directory_subscription directory_;
    std::function<void()> first_plan_callback_;
    transport::subscription sweep_;
    time_point started_;
    std::optional<time_point> load_reported_;
    std::uint64_t load_sequence_{0};
};

} // namespace boragestand::fleet
