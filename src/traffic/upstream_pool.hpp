#pragma once

#include "base/token_bucket.hpp"
#include "traffic/load_tracker.hpp"
#include "traffic/upstream_selection.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragestand::traffic
{

/// Upstreams known to a token_router, with the load and health of each as
/// inferred from the packets that pass this instance.
class upstream_pool
{
public:
    /// One upstream.
    struct member
    {
        coordination::registered_upstream record;
        routing_token token{0};
        std::uint64_t data_centre{0}; ///< hash of the name
        bool remote{false};           ///< in another data centre
        bool token_conflicts{false};  ///< an earlier upstream has the token
        bool unlisted{false};         ///< missing from the last full update
        time_point unlisted_since;
        time_point warmup_ends_at;
        time_point updated_at;       ///< its newest record
        std::uint32_t open_flows{0}; ///< flows open from this instance
        /// Send times of unanswered SYNs, oldest first.
        std::deque<time_point> unanswered;
        std::uint32_t failures{0}; ///< unanswered SYNs in a row
        time_point silent_since;   ///< the first SYN that is not answered
        time_point suspended_until;
    };

    /// tracker counts the requests of this instance; it must outlive the pool.
    upstream_pool(const token_router_settings& settings,
                  const load_tracker& tracker)
        : settings_(settings), tracker_(tracker)
    {
    }

    /// Applies records. In a full update, upstreams without a record get no new
    /// flows until a later update contains them.
    void apply(const std::vector<coordination::registered_upstream>& records,
               bool full, time_point now);

    /// Applies the services of a plan.
    void apply(const std::vector<state::planned_service>& services);

    /// Applies grants, which permit new flows to cold upstreams with a rate.
    void apply(const std::vector<coordination::warmup_grant>& grants,
               time_point now);

    /// Applies an aggregate of the load over all entry instances.
    void apply(const coordination::evidence_report& aggregate, time_point now);

    load_summary load_summary_at(time_point now) const;

    /// Applies an evacuation or its end. Upstreams of an evacuated data centre
    /// get no new flows.
    void apply(const coordination::evacuation_notice& notice, time_point now);

    /// Whether the service has upstreams that are ready and all of them are in
    /// evacuated data centres.
    bool is_evacuated(const std::string& service) const;

    /// The upstream that a token names, or null.
    member* find_by_token(routing_token token);
    const member* find_by_token(routing_token token) const;

    /// The upstream with this identity, or null.
    member* find(std::uint64_t id);
    const member* find(std::uint64_t id) const;

    /// Selects an upstream of a service for a new flow, or null. Those in
    /// avoided are chosen only if there is no other. candidates receives the
    /// number of eligible upstreams, basis the reason. A cold upstream with a
    /// rate is charged with the flow.
    member* choose(const std::string& service,
                   const std::vector<std::uint64_t>& avoided,
                   std::uint64_t flow_hash, time_point now,
                   std::uint32_t& candidates, selection& basis);

    /// Reports that many packets, possibly answers, wait to be read.
    void report_backlog(time_point now) { last_backlog_ = now; }

    /// Records that a SYN was sent.
    void record_syn(member& target, time_point now);

    /// Records that the SYN sent at this time was answered.
    void record_answer(member& target, time_point sent, time_point now);

    /// Records that the SYN sent at this time was not answered.
    void record_unanswered_syn(member& target, time_point sent, time_point now);

    /// Removes expired former tokens and upstreams that are gone.
    void expire(time_point now);

    std::size_t size() const { return members_.size(); }

private:
    struct former_token
    {
        std::uint64_t upstream{0};
        time_point until;
    };

    /// Health of a data centre as a whole: while it is unreachable, none of its
    /// upstreams answers.
    struct data_centre_state
    {
        time_point last_answer;
        time_point suspended_until;
        std::uint32_t suspensions{0};    ///< in a row
        std::size_t silent_upstreams{0}; ///< in the last check
    };

    /// Evacuation of a data centre.
    struct evacuation_state
    {
        bool active{false};
        time_point returns_at; ///< upstreams with a rate stay out until then
    };

    /// Permission to send new flows to a cold upstream.
    struct held_grant
    {
        std::uint64_t incarnation{0};
        token_bucket requests;
        time_point until;
    };

    bool is_in_use(const member& candidate) const;
    bool has_rate_limit(const member& candidate, time_point now) const;
    bool may_take(const member& candidate, time_point now);
    selection_policy policy(time_point now) const;
    std::vector<selection_candidate>
    find_candidates(const std::string& service,
                    const std::vector<std::uint64_t>& avoided, time_point now);
    void step_slow_starts(const std::vector<std::uint64_t>& members,
                          time_point now);
    bool is_evacuated(const member& candidate, time_point now) const;
    void apply_record(const coordination::registered_upstream& record,
                      time_point now);
    void remember_former(const member& former,
                         const coordination::registered_upstream& record,
                         time_point now);
    void add_to_indexes(const member& added);
    void remove_from_indexes(const member& removed);
    void resolve_token_conflicts(routing_token token);
    bool is_forgotten(const member& known, time_point now) const;
    bool is_silent(const member& candidate, time_point now) const;
    bool is_data_centre_suspended(const member& candidate,
                                  time_point now) const;
    bool is_suspect(const member& candidate, time_point now) const;
    void suspend_silent_data_centres(time_point now);
    void end_suspensions(std::uint64_t data_centre);
    duration backoff(std::uint32_t failures) const;
    double cost(const member& candidate, time_point now) const;

    token_router_settings settings_;
    time_point last_backlog_{}; ///< packets were waiting to be read
    std::map<std::uint64_t, member> members_;
    std::map<std::uint64_t, data_centre_state> data_centres_;
    std::map<std::uint64_t, evacuation_state>
        evacuations_; ///< by hash of the data centre
    /// Services that limit the requests of cold upstreams, with the requests
    /// per 1,000 s.
    std::map<std::string, std::uint32_t> warmup_rates_;
    std::map<std::uint64_t, held_grant> grants_; ///< by upstream
    const load_tracker& tracker_;
    upstream_load load_;
    recovery_pace pace_;
    std::map<std::string, std::vector<std::uint64_t>> by_service_;
    /// Upstreams with a token, the one that it names first. All entry instances
    /// choose the one that started first, in whatever order they learn of them.
    std::unordered_map<routing_token, std::vector<std::uint64_t>> by_token_;
    std::unordered_map<routing_token, former_token> former_tokens_;
};

} // namespace boragestand::traffic
