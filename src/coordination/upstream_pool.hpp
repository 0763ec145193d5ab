#pragma once

#include "coordination/token_router_types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragestand::coordination
{

/// The upstreams that a token_router knows, with the load and health of each as
/// seen in the packets that pass here.
class upstream_pool
{
public:
    /// One upstream.
    struct member
    {
        registered_upstream record;
        routing_token token{0};
        std::uint64_t data_centre{0}; ///< hash of the name
        bool remote{false};           ///< in another data centre
        bool token_taken{false};      ///< by an upstream that was known before
        bool unlisted{false}; ///< not among the records of the last whole
        time_point warm_at;
        time_point learnt;     ///< its newest record
        std::uint32_t open{0}; ///< flows from here that have not ended
        /// When SYNs were sent that no packet has followed yet, oldest first.
        std::deque<time_point> unanswered;
        std::uint32_t failures{0}; ///< unanswered SYNs in a row
        time_point silent_since;   ///< the first SYN that is not answered
        time_point suspended_until;
    };

    explicit upstream_pool(const token_router_settings& settings)
        : settings_(settings)
    {
    }

    /// Takes records; with whole set, upstreams that are not among them get no
    /// new flows until they are told of again.
    void apply(const std::vector<registered_upstream>& records, bool whole,
               time_point now);

    /// The upstream that a token names, or null.
    member* find_token(routing_token token);

    /// The upstream with this identity, or null.
    member* find(std::uint64_t id);

    /// The best upstream of a service for a new flow, or null. Those in avoided
    /// are taken only if there is no other. candidates counts the choices.
    member* choose(const std::string& service,
                   const std::vector<std::uint64_t>& avoided,
                   std::uint64_t flow_hash, time_point now,
                   std::uint32_t& candidates);

    /// Many packets wait to be read, so answers may be among them.
    void note_backlog(time_point now) { behind_at_ = now; }

    /// A SYN was sent.
    void note_syn(member& target, time_point now);

    /// A packet followed a SYN that was sent at this time: it was answered.
    void note_answer(member& target, time_point sent, time_point now);

    /// A SYN that was sent at this time was not answered.
    void note_silence(member& target, time_point sent, time_point now);

    /// Forgets former tokens and upstreams that are gone.
    void expire(time_point now);

    std::size_t size() const { return members_.size(); }

private:
    struct former_token
    {
        std::uint64_t upstream{0};
        time_point until;
    };

    /// What is known about all upstreams of a data centre together: while it
    /// is cut off none of them answers.
    struct data_centre_state
    {
        time_point last_answer;
        time_point suspended_until;
        std::uint32_t failures{0}; ///< suspensions in a row
        std::size_t silent{0};     ///< upstreams, counted by watch()
    };

    void take(const registered_upstream& record, time_point now);
    bool is_silent(const member& candidate, time_point now) const;
    void watch_data_centres(time_point now);
    void end_suspensions(std::uint64_t data_centre);
    duration backoff(std::uint32_t failures) const;
    double cost(const member& candidate, time_point now) const;

    token_router_settings settings_;
    time_point behind_at_{}; ///< packets were waiting to be read
    std::map<std::uint64_t, member> members_;
    std::map<std::uint64_t, data_centre_state> data_centres_;
    std::map<std::string, std::vector<std::uint64_t>> by_service_;
    std::unordered_map<routing_token, std::uint64_t> by_token_;
    std::unordered_map<routing_token, former_token> former_tokens_;
};

} // namespace boragestand::coordination
