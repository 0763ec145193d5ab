#pragma once

#include "coordination/coordination.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace boragestand::fleet
{

/// Answers requests of entry and control instances: POST /v1/directory with the
/// changes since the sender's last request (long polling, a request waits until
/// there is a change or directory_wait has passed), and POST /v1/plan of entry
/// instances with a page of the plan, at once.
class directory_server
{
public:
    using exchange = std::shared_ptr<transport::http_exchange>;

    /// Content of replies besides the registry.
    struct view
    {
        bool current{false};
        std::shared_ptr<const state::routing_plan> plan;
        std::vector<transport::endpoint> controls;
        std::vector<coordination::evacuation_notice> evacuations;
    };

    /// epoch is a random number that identifies this run.
    directory_server(const coordination::upstream_registry& registry,
                     transport::timer_service& timers, std::uint64_t epoch,
                     std::function<view()> make_view);

    /// Answers one request now or later; error_kind::not_found if it has
    /// another method or path, error_kind::malformed_message if it cannot be
    /// read.
    result<void> handle(const transport::http_request& request,
                        const exchange& answer);

    /// Answers waiting requests after a change of the plan.
    void publish();

    /// Answers waiting requests after a change of the registry, together with
    /// the changes of the next publish_delay.
    void publish_soon();

    /// The cursor that a control instance has acknowledged in this run.
    std::uint64_t acknowledged(const transport::endpoint& replica) const;

    /// Load of upstreams as reported by entry and control instances.
    coordination::load_exchange& load() { return load_; }
    const coordination::load_exchange& load() const { return load_; }

    /// Called for load data that cannot be read; its request is answered as if
    /// it had none.
    using bad_load_function =
        std::function<void(const error&, const transport::endpoint& sender)>;
    void on_bad_load(bad_load_function callback)
    {
        bad_load_callback_ = std::move(callback);
    }

    /// Makes the grants of cold upstreams for an entry instance.
    using grant_function =
        std::function<std::vector<coordination::warmup_grant>(
            const transport::endpoint& entry)>;
    void on_grants(grant_function make_grants)
    {
        make_grants_ = std::move(make_grants);
    }

    /// Entry instances that asked within the last second.
    std::vector<transport::endpoint> recent_entries() const;

    /// Called whenever a control instance acknowledges more.
    void on_acknowledged(std::function<void()> callback)
    {
        acknowledged_callback_ = std::move(callback);
    }

    /// Entry instances that asked within the last seconds.
    std::size_t entry_count() const;

    /// Those counted by entry_count() that hold the evacuations up to a log
    /// index.
    std::size_t entry_count_with_evacuations(std::uint64_t index) const;

    const coordination::plan_publisher& plans() const { return plans_; }

private:
    struct entry_instance
    {
        time_point last_request;
        std::uint64_t evacuation_index{0};
    };

    struct waiting_request
    {
        coordination::directory_request request;
        bool includes_plan{false};
        exchange answer;
        transport::subscription timeout;
    };

    view current_view();
    result<void> handle_directory(const transport::http_request& request,
                                  const exchange& answer);
    result<void> handle_plan(const transport::http_request& request,
                             const exchange& answer);
    bool has_changes(const coordination::directory_request& request,
                     const view& now) const;
    void take_load(const coordination::directory_request& request);
    void record_sender(const coordination::directory_request& request);
    std::vector<coordination::upstream_refresh>
    take_refreshes(const transport::endpoint& replica);
    void reply(const coordination::directory_request& request,
               bool includes_plan, const exchange& answer, const view& now);
    void answer_timed_out(std::uint64_t id);

    const coordination::upstream_registry& registry_;
    transport::timer_service& timers_;
    std::uint64_t epoch_;
    std::function<view()> make_view_;
    std::function<void()> acknowledged_callback_;
    grant_function make_grants_;
    bad_load_function bad_load_callback_;
    coordination::load_exchange load_;
    coordination::plan_publisher plans_;
    std::map<std::uint64_t, waiting_request> waiting_;
    std::uint64_t next_waiting_{1};
    std::map<transport::endpoint, std::uint64_t> acknowledged_;
    std::map<transport::endpoint, entry_instance> entries_;
    /// When heartbeats were last listed for a control instance.
    std::map<transport::endpoint, time_point> refreshed_;
    transport::subscription delayed_publish_;
    bool publish_pending_{false};
};

} // namespace boragestand::fleet
