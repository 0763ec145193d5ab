#include "fleet_group.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

namespace boragestand::fleet
{

namespace
{

constexpr duration run_limit = std::chrono::seconds(60);
constexpr duration check_interval = std::chrono::milliseconds(5);
// Upstreams in the tests send only one heartbeat.
constexpr duration lease = std::chrono::minutes(5);
constexpr std::uint16_t port = 7400;
constexpr std::uint32_t seed_count = 3;

} // namespace

settings::event_log& process_log()
{
    static const auto log = std::move(
        *settings::event_log::open({settings::log_level::error, ""}, "test"));
    return *log;
}

// Each process uses a network of its own, since tests run at the same time.
fleet_group::fleet_group()
    : root_(::testing::TempDir() + "fleet_" + std::to_string(::getpid()))
    , network_((127U << 24) |
               ((128 + static_cast<std::uint32_t>(::getpid()) % 32768) << 8))
    , log_(process_log())
{
    std::filesystem::create_directory(root_);
}

fleet_group::~fleet_group()
{
    nodes_.clear();
    std::filesystem::remove_all(root_);
}

std::string fleet_group::directory(std::uint32_t number) const
{
    return root_ + "/" + std::to_string(number);
}

transport::endpoint fleet_group::address(std::uint32_t number) const
{
    return {network_ + number, port};
}

std::vector<transport::endpoint> fleet_group::seeds() const
{
    std::vector<transport::endpoint> list;
    for (std::uint32_t number = 1; number <= seed_count; ++number)
    {
        list.push_back(address(number));
    }
    return list;
}

void fleet_group::start(std::uint32_t number, bool first_start)
{
    std::filesystem::create_directory(directory(number));
    control_node_settings settings;
    settings.address = address(number);
    settings.listen = settings.address;
    settings.data_directory = directory(number);
    settings.seeds = seeds();
    settings.may_found = first_start;
    settings.data_centres = {"a", "b"};
    settings.tolerance = tolerance_;
    settings.registry.lease = lease;
    settings.replication.first_election_timeout =
        std::chrono::milliseconds(150);
    auto node = control_node::open(loop_, timers_, settings, log_,
                                   [](const std::optional<error>&) {});
    ASSERT_TRUE(node) << node.error().message;
    nodes_[number] = std::move(*node);
}

void fleet_group::kill(std::uint32_t number)
{
    nodes_.erase(number);
}

void fleet_group::lose_disk(std::uint32_t number)
{
    std::filesystem::remove_all(directory(number));
}

bool fleet_group::run_until(const std::function<bool()>& condition)
{
    bool held = false;
    const auto check = timers_.every(check_interval,
                                     [&](time_point)
                                     {
                                         held = condition();
                                         if (held)
                                         {
                                             loop_.quit();
                                         }
                                     });
    const auto guard =
        timers_.after(run_limit, [&](time_point) { loop_.quit(); });
    loop_.run();
    return held;
}

void fleet_group::run_for(duration time)
{
    const auto end = timers_.after(time, [&](time_point) { loop_.quit(); });
    loop_.run();
}

std::uint32_t fleet_group::leader()
{
    for (const auto& [number, node] : nodes_)
    {
        if (node->is_leader() && node->is_current())
        {
            return number;
        }
    }
    return 0;
}

bool fleet_group::has_voters(std::size_t count)
{
    const auto leading = leader();
    if (leading == 0)
    {
        return false;
    }
    const auto& group = at(leading).runner().node().committed_group();
    for (const auto& [number, node] : nodes_)
    {
        if (group.find(node->runner().node().self()) == nullptr)
        {
            return false;
        }
    }
    return group.voter_count() == count && group.members.size() == count;
}

result<void> fleet_group::submit(std::uint64_t version,
                                 const std::string& document)
{
    return ask_leader(
        [&](control_node& leading, done_callback done)
        { leading.submit(make_plan(version, document), std::move(done)); });
}

result<void> fleet_group::evacuate(const std::string& data_centre, bool active)
{
    return ask_leader(
        [&](control_node& leading, done_callback done)
        {
            leading.submit(state::evacuation_order{data_centre, active},
                           std::move(done));
        });
}

result<void> fleet_group::ask_leader(
    const std::function<void(control_node&, done_callback)>& ask)
{
    std::optional<result<void>> outcome;
    bool asked = false;
    const bool done = run_until(
        [&]
        {
            const bool again = outcome && !*outcome &&
                               error_info_for(outcome->error().kind).retryable;
            if (again)
            {
                outcome.reset();
                asked = false;
            }
            const auto leading = leader();
            if (!asked && leading != 0)
            {
                asked = true;
                ask(at(leading), [&outcome](const result<void>& answer)
                    { outcome = answer; });
            }
            return outcome.has_value();
        });
    return done ? *outcome : failure(error_kind::timeout, "not answered");
}

std::string fleet_group::read()
{
    std::string document;
    run_until(
        [&]
        {
            if (const auto leading = leader())
            {
                at(leading).read(
                    [&document](const auto& plan)
                    { document = plan ? (*plan)->document : document; });
            }
            return !document.empty();
        });
    // Pending reads refer to the local document and must complete first.
    run_for(std::chrono::milliseconds(300));
    return document;
}

std::optional<result<void>>
fleet_group::send_heartbeat(std::uint32_t number,
                            const coordination::registered_upstream& record)
{
    auto outcome = std::make_shared<std::optional<result<void>>>();
    at(number).handle_heartbeat(record, [outcome](const result<void>& answer)
                                { *outcome = answer; });
    run_until([&] { return outcome->has_value(); });
    return *outcome;
}

std::unique_ptr<entry_node>
fleet_group::make_entry(const std::vector<transport::endpoint>& seeds)
{
    entry_node_settings settings;
    settings.address = {network_ + 200, port};
    settings.data_centre = "a";
    settings.seeds = seeds;
    settings.router.data_centre = hash_text("a");
    auto entry = std::make_unique<entry_node>(loop_, timers_, settings, log_);
    entry->start();
    return entry;
}

state::submitted_plan make_plan(std::uint64_t version,
                                const std::string& document)
{
    state::submitted_plan value;
    value.plan.version = version;
    value.plan.services = {{"desk", "", 0}};
    state::service_route route;
    route.name = "r";
    route.address = {0xc6120001, 443};
    route.services = {{"desk", 1}};
    route.timeout_ms = 1000;
    value.plan.routes = {route};
    value.document = document;
    return value;
}

coordination::registered_upstream
make_upstream(std::uint64_t id, std::uint64_t sequence,
              coordination::upstream_condition condition)
{
    coordination::registered_upstream record;
    record.id = id;
    record.service = "desk";
    record.address = {0x0a000000 + static_cast<std::uint32_t>(id), 8080};
    record.data_centre = "a";
    record.incarnation = 1000;
    record.sequence = sequence;
    record.condition = condition;
    return record;
}

} // namespace boragestand::fleet
