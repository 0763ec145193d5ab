#include "replica/group_founding.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace boragestand::replica
{

namespace
{

constexpr duration poll_interval = std::chrono::milliseconds(500);
constexpr duration answer_timeout = std::chrono::milliseconds(400);
constexpr duration replacement_timeout = std::chrono::seconds(3);

// Elections end well within this time while a majority can be reached.
constexpr duration removal_check_delay = std::chrono::seconds(3);

} // namespace

group_founding::group_founding(std::uint32_t self,
                               const transport::endpoint& address,
                               policy joining_policy, replica_runner& runner,
                               transport::timer_service& timers,
                               peer_link& peers, replica_log& log)
    : self_(self)
    , address_(address)
    , policy_(std::move(joining_policy))
    , runner_(runner)
    , timers_(timers)
    , peers_(peers)
    , log_(log)
{
}

bool group_founding::is_member() const
{
    return runner_.node().group().find(runner_.node().self()) != nullptr;
}

// Only one instance decides, so that there is only one first group.
bool group_founding::decides_first_group() const
{
    bool listed = false;
    for (const auto& each : policy_.founders)
    {
        if (each.instance < self_)
        {
            return false;
        }
        listed = listed || each.instance == self_;
    }
    return listed;
}

void group_founding::start()
{
    polling_ = timers_.every(poll_interval, [this](time_point) { poll(); });
    poll();
}

void group_founding::set_founders(std::vector<founder> founders)
{
    if (policy_.may_found && !joined_)
    {
        return;
    }
    policy_.may_found = false;
    policy_.founders = std::move(founders);
}

founding_status group_founding::status() const
{
    const auto& node = runner_.node();
    founding_status status;
    status.replica = node.self();
    status.group = node.group();
    status.group.retired.clear();
    status.formed = !status.group.members.empty() || node.last().index > 0;
    status.founding_group = node.snapshot_index() == 0 &&
                            node.last_group_index() == 0 && status.formed;
    status.leader = runner_.leader_address().value_or(transport::endpoint{});
    return status;
}

void group_founding::poll()
{
    joined_ = joined_ || is_member();
    if (runner_.node().leader().value != 0)
    {
        last_leader_contact_ = timers_.now();
    }
    if (joined_ && !may_have_been_removed())
    {
        return;
    }
    found_if_complete();
    for (const auto& other : policy_.founders)
    {
        if (other.instance != self_)
        {
            request_status(other);
        }
    }
}

void group_founding::request_status(const founder& other)
{
    peers_.request(
        other.address,
        {.method = "GET", .path = "/v1/identity", .headers = {}, .body = {}},
        answer_timeout,
        [this, other](const result<transport::http_response>& response)
        {
            const bool settled = is_member() && !may_have_been_removed();
            if (!response || response->status != 200 || settled)
            {
                return;
            }
            const auto status = founding_status_from_json(response->body);
            if (!status)
            {
                log_.bad_input("identity", status.error(), other.address,
                               timers_.now());
                return;
            }
            handle_status(other.instance, *status);
        });
}

void group_founding::handle_status(std::uint32_t instance,
                                   const founding_status& status)
{
    if (status.formed)
    {
        join(status);
        return;
    }
    new_founders_[instance] = status.replica;
    found_if_complete();
}

void group_founding::found_if_complete()
{
    if (!policy_.may_found || !decides_first_group() ||
        new_founders_.size() + 1 != policy_.founders.size() || is_member() ||
        runner_.node().last().index > 0)
    {
        return;
    }
    protocol::replica_group group;
    for (const auto& each : policy_.founders)
    {
        const auto id = each.instance == self_ ? runner_.node().self()
                                               : new_founders_[each.instance];
        group.members.push_back({id, each.address, true, 0});
    }
    std::sort(group.members.begin(), group.members.end());
    runner_.found(group);
}

void group_founding::join(const founding_status& status)
{
    const auto own = runner_.node().self();
    if (status.group.find(own) != nullptr)
    {
        // In a later group the leader sends what this instance needs.
        if (status.founding_group && runner_.node().group().members.empty())
        {
            runner_.found(status.group);
        }
        return;
    }
    for (const auto& member : status.group.members)
    {
        if (instance_of(member.id) == self_)
        {
            request_replacement(status, member.id);
            return;
        }
    }
    if (policy_.joins_automatically)
    {
        request_membership(status, "add", 0);
    }
}

// A member without contact to a leader may have been removed while it was away.
bool group_founding::may_have_been_removed() const
{
    return policy_.joins_automatically &&
           timers_.now() - last_leader_contact_ >= removal_check_delay;
}

void group_founding::request_replacement(const founding_status& status,
                                         replica_id replaced)
{
    if (!replacement_logged_)
    {
        replacement_logged_ = true;
        log_.disk_replaced(runner_.node().self(), replaced);
    }
    request_membership(status, "replace", self_);
}

void group_founding::request_membership(const founding_status& status,
                                        const std::string& action,
                                        std::uint32_t replaced)
{
    if (status.leader.address == 0)
    {
        return;
    }
    const nlohmann::json body{{"action", action},
                              {"id", self_},
                              {"http", transport::to_string(address_)},
                              {"replaces", replaced}};
    peers_.request(
        status.leader,
        {.method = "POST",
         .path = "/v1/members",
         .headers = {},
         .body = body.dump()},
        replacement_timeout,
        [this](const result<transport::http_response>& response)
        {
            const auto retired =
                error_info_for(error_kind::identity_retired).http_status;
            if (response && response->status == retired && policy_.retired)
            {
                policy_.retired();
            }
        });
}

} // namespace boragestand::replica
