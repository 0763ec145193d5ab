#pragma once

#include "fleet/directory_client.hpp"
#include "fleet/fleet_log.hpp"

#include <functional>
#include <optional>
#include <string>

namespace boragestand::fleet
{

/// Keeps the plan of an entry instance up to date: requests the pages of a
/// newer version, one at a time, and goes on with another control instance
/// where a former one has stopped.
class plan_follower
{
public:
    /// Callbacks of the entry instance.
    struct hooks
    {
        /// The client to request a plan above a version from, or null.
        std::function<directory_client*(std::uint64_t version)> source;
        /// A newer plan is complete.
        std::function<void(const coordination::plan_update&,
                           const transport::endpoint& source)>
            completed;
    };

    plan_follower(transport::timer_service& timers, fleet_log& log,
                  hooks callbacks);

    /// Takes a version that a control instance has named, and requests it soon
    /// unless it is held or a request is outstanding.
    void follow(std::uint64_t version);

    /// Takes a whole plan from the reply of a control instance of an earlier
    /// version.
    void replace(const state::routing_plan& plan,
                 const transport::endpoint& source);

    /// Version of the complete plan, 0 if there is none.
    std::uint64_t version() const { return copy_.version(); }

    /// Appends metrics in the Prometheus text format.
    void append_metrics(std::string& text, time_point now) const;

private:
    /// The transfer of a newer plan, from its first request on.
    struct transfer
    {
        time_point started;
        std::size_t bytes{0};
        std::size_t pages{0};
        duration processing{0}; ///< decoding and applying

        auto operator<=>(const transfer&) const = default;
    };

    transfer& current_transfer();
    void request_after(duration pause);
    void request_page();
    void handle_page(const transport::endpoint& source,
                     const result<coordination::plan_page>& page,
                     std::size_t bytes);
    void handle_failure(const error& cause, const transport::endpoint& source);
    void complete(const coordination::plan_update& update,
                  const transport::endpoint& source);

    transport::timer_service& timers_;
    fleet_log& log_;
    hooks hooks_;
    coordination::plan_copy copy_;
    transport::subscription next_request_;
    bool outstanding_{false};
    std::optional<transfer> transfer_;
    std::uint64_t named_{0}; ///< newest version named by a control instance
    /// When a version above the complete one was first named.
    std::optional<time_point> behind_since_;
    std::uint64_t pages_{0};
    std::uint64_t bytes_{0};
    std::uint64_t failures_{0};
};

} // namespace boragestand::fleet
