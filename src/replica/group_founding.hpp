#pragma once

#include "replica/founding_status.hpp"
#include "replica/replica_runner.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace boragestand::replica
{

/// Determines the role of an instance without a history, and retries until it
/// is part of a group.
///
/// - A founding member: its identity is in the first group. That group is
///   decided by one instance only, the one with the lowest number, once it has
///   heard from all others that they are new as well.
/// - A known instance whose disk was lost: the group knows its number with
///   another identity. It asks the leader to replace that one and never votes
///   under it.
/// - A new instance: it waits until an operator adds it, or asks to be added.
/// - A member that was removed while it was away: its identity is retired.
class group_founding
{
public:
    /// A founding member according to the settings.
    struct founder
    {
        std::uint32_t instance;
        transport::endpoint address;
    };

    /// Options for joining or founding a group.
    struct policy
    {
        /// Instances to ask, and the first group if may_found is set.
        std::vector<founder> founders;
        bool may_found{true};
        /// Asks to be added as a new instance, and detects that it was removed.
        bool joins_automatically{false};
        /// Called when joins_automatically is set and the identity is retired.
        std::function<void()> retired{};
    };

    group_founding(std::uint32_t self, const transport::endpoint& address,
                   policy joining_policy, replica_runner& runner,
                   transport::timer_service& timers, peer_link& peers,
                   replica_log& log);

    /// Asks all others now and regularly until this instance is a member.
    void start();

    /// Replaces the instances to ask. An instance that may found a group keeps
    /// those that it started with, on which all founders must agree.
    void set_founders(std::vector<founder> founders);

    /// Status that this instance reports to others.
    founding_status status() const;

private:
    void poll();
    void request_status(const founder& other);
    void handle_status(std::uint32_t instance, const founding_status& status);
    void join(const founding_status& status);
    void found_if_complete();
    void request_replacement(const founding_status& status,
                             replica_id replaced);
    void request_membership(const founding_status& status,
                            const std::string& action, std::uint32_t replaced);
    bool may_have_been_removed() const;
    bool is_member() const;
    bool decides_first_group() const;

    std::uint32_t self_;
    transport::endpoint address_;
    policy policy_;
    replica_runner& runner_;
    transport::timer_service& timers_;
    peer_link& peers_;
    replica_log& log_;
    transport::subscription polling_;
    /// Identities of other founders that have no history.
    std::map<std::uint32_t, replica_id> new_founders_;
    /// Never reset: a member that is removed later does not ask again.
    bool joined_{false};
    bool replacement_logged_{false};
    time_point last_leader_contact_{};
};

/// Number of the instance that an identity belongs to.
constexpr std::uint32_t instance_of(replica_id id)
{
    return static_cast<std::uint32_t>(id.value >> 32);
}

} // namespace boragestand::replica
