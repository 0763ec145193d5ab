#pragma once

#include "simulated_replica.hpp"

#include <functional>

namespace boragestand::testing
{

/// How the simulated network treats messages.
struct network_conditions
{
    double loss{0};
    double duplication{0};
    duration least_delay{std::chrono::milliseconds(1)};
    duration most_delay{std::chrono::milliseconds(4)};
};

/// A group of simulated replicas with time and network from one seed. Checks
/// with each event that no two replicas lead one term, that a leader holds all
/// that was committed in earlier terms and that committed entries never differ;
/// the first violation is kept.
class simulated_group : private replica_observer
{
public:
    simulated_group(std::uint64_t seed, agreement::agreement_settings settings);
    ~simulated_group() override;

    /// Creates and starts the founding members, all of which know the group.
    void found(const std::vector<std::uint32_t>& instances)
    {
        found(instances, {instances.begin(), instances.end()});
    }

    /// As above, but only the informed instances know the group.
    void found(const std::vector<std::uint32_t>& instances,
               const std::set<std::uint32_t>& informed);

    /// Starts an instance with an empty disk that is no member.
    void spawn(std::uint32_t instance);

    /// Advances the time, at most until the condition holds; it is tested
    /// after each event. False if it never held.
    bool run(duration span, const std::function<bool()>& condition = {});

    /// Submits a command; the token names the answer.
    std::uint64_t propose(std::uint32_t instance, const std::string& command);
    std::uint64_t change(std::uint32_t instance,
                         agreement::membership_change change);
    std::uint64_t read(std::uint32_t instance);
    void hand_over(std::uint32_t instance);
    void freeze(std::uint32_t instance) { at(instance).freeze(); }
    void thaw(std::uint32_t instance) { at(instance).thaw(now_); }
    void restart(std::uint32_t instance);

    /// Asks an instance to start an election, until it leads.
    bool elect(std::uint32_t instance, duration limit);

    /// Partitions the network: messages pass only within a side. Instances on
    /// no side reach all others.
    void cut(const std::vector<std::set<std::uint32_t>>& sides)
    {
        sides_ = sides;
    }
    void heal() { sides_.clear(); }
    void drop_in_flight() { in_flight_.clear(); }
    void set_conditions(const network_conditions& value)
    {
        conditions_ = value;
    }

    time_point now() const { return now_; }
    simulated_replica& at(std::uint32_t instance);
    const std::map<std::uint32_t, std::unique_ptr<simulated_replica>>&
    replicas() const
    {
        return replicas_;
    }

    /// The leader of the highest term among running replicas, or null.
    simulated_replica* leader() const;

    /// The answer to a token, none if it has not come.
    std::optional<result<std::uint64_t>> answer(std::uint64_t token) const;

    /// Commands that were answered as committed.
    const std::set<std::string>& acknowledged() const { return acknowledged_; }

    /// Index of the last entry that any replica has applied.
    std::uint64_t last_committed() const;

    /// First violation of an invariant, empty if there was none.
    const std::string& violation() const { return violation_; }

    /// The group that the last committed membership entry set.
    const protocol::replica_group& committed_group() const { return group_; }

    /// Compares the logs of all replicas with each other.
    void check_log_matching();

    /// Ends all faults and waits until every member holds the same state with
    /// all acknowledged commands. Empty on success, else the problem.
    std::string settle();

private:
    void sent(std::uint32_t from,
              const agreement::send_message& message) override;
    void applied(std::uint32_t instance, const protocol::log_entry& entry,
                 const std::string& state) override;
    void restored(std::uint32_t instance,
                  const protocol::agreement_snapshot& snapshot) override;
    void became_leader(std::uint32_t instance, std::uint64_t term) override;
    void answered(std::uint64_t token,
                  const result<std::uint64_t>& outcome) override;
    void invariant_broken(std::uint32_t instance,
                          const std::string& what) override;

    std::unique_ptr<simulated_replica> make_replica(std::uint32_t instance);
    void report_violation(const std::string& what);
    void deliver(const agreement::send_message& message);
    bool is_settled(const std::string& marker);
    bool connected(std::uint32_t from, std::uint32_t to) const;
    void tick_all();
    void check_promotion(const protocol::log_entry& entry);
    void schedule(const agreement::send_message& message);

    struct packet
    {
        std::uint32_t from;
        agreement::send_message message;
    };

    random_generator random_;
    agreement::agreement_settings settings_;
    network_conditions conditions_;
    time_point now_{std::chrono::seconds(1)};
    time_point next_tick_{now_};
    std::multimap<time_point, packet> in_flight_;
    std::vector<std::set<std::uint32_t>> sides_;
    std::map<std::uint32_t, std::unique_ptr<simulated_replica>> replicas_;
    std::map<std::uint64_t, protocol::log_entry> committed_;
    std::map<std::uint64_t, std::uint64_t> commit_terms_;
    protocol::replica_group group_;
    std::map<std::uint64_t, std::string> states_;
    std::map<std::uint64_t, std::uint32_t> leaders_;
    std::map<std::uint64_t, std::string> proposed_;
    std::map<std::uint64_t, result<std::uint64_t>> answers_;
    std::set<std::string> acknowledged_;
    std::uint64_t next_token_{1};
    std::string violation_;
};

} // namespace boragestand::testing
