#pragma once

#include "founding_status.hpp"
#include "replica_host.hpp"

#include <map>
#include <vector>

namespace boragestand::control
{

/// Finds out what an instance without a history is, and asks until it is part
/// of a group.
///
/// - A founding member: its identity is in the first group. That group is
///   decided by one instance only, the one with the lowest number, once it has
///   heard from all others that they are new as well.
/// - A known instance whose disk was lost: the group knows its number with
///   another identity. It asks the leader to replace that one and never votes
///   under it.
/// - A new instance: it waits until an operator adds it.
class group_founding
{
public:
    /// A founding member according to the settings.
    struct founder
    {
        std::uint32_t instance;
        transport::endpoint address;
    };

    group_founding(std::uint32_t self, const transport::endpoint& address,
                   std::vector<founder> founders, replica_host& host,
                   transport::timer_service& timers, replica::peer_link& peers,
                   control_log& log);

    /// Asks all others now and regularly until this instance is a member.
    void start();

    /// What this instance tells others.
    founding_status status() const;

private:
    void poll();
    void ask(const founder& other);
    void take(std::uint32_t instance, const founding_status& status);
    void join(const founding_status& status);
    void found_if_complete();
    void request_replacement(const founding_status& status,
                             replica_id replaced);
    bool is_member() const;
    bool is_decider() const;

    std::uint32_t self_;
    transport::endpoint address_;
    std::vector<founder> founders_;
    replica_host& host_;
    transport::timer_service& timers_;
    replica::peer_link& peers_;
    control_log& log_;
    transport::subscription polling_;
    /// Identities of other founders that have no history.
    std::map<std::uint32_t, replica_id> new_founders_;
    /// Set for good: a member that is removed later does not ask again.
    bool joined_{false};
    bool replacement_logged_{false};
};

/// Number of the instance that an identity belongs to.
constexpr std::uint32_t instance_of(replica_id id)
{
    return static_cast<std::uint32_t>(id.value >> 32);
}

} // namespace boragestand::control
