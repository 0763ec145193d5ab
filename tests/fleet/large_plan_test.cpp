#include "../support/numbered_plan.hpp"
#include "fleet_group.hpp"
#include "recorded_exchange.hpp"
#include "slow_link.hpp"

#include <gtest/gtest.h>

namespace boragestand::fleet
{

namespace
{

using namespace std::chrono_literals;
using testing::make_numbered_plan;

constexpr transport::endpoint loopback{0x7f000001, 0};
constexpr std::size_t route_count = 10000;
constexpr double link_rate = 250e3; ///< bytes per second: 2 Mbit/s
/// The operators' bound until an acknowledged plan is in force.
constexpr duration plan_limit = 4s;

/// The directory of a control instance, behind a link of its own.
class control_stand_in
{
public:
    control_stand_in(transport::main_loop& loop,
                     transport::timer_service& timers)
        : directory(registry, timers, 7, [this] { return view; })
        , server(*transport::http2_server::listen(
              loop, loopback,
              [this](transport::http_request request,
                     const std::shared_ptr<transport::http_exchange>& answer)
              { handle(std::move(request), answer); }))
        , link(loop, timers, server->local_endpoint(), link_rate)
    {
        view.current = true;
        view.plan = std::make_shared<state::routing_plan>();
        view.controls = {link.local_endpoint()};
    }

    void publish(std::shared_ptr<const state::routing_plan> plan)
    {
        view.plan = std::move(plan);
        directory.publish();
    }

    void add_upstream(std::uint64_t id)
    {
        registry.apply(make_upstream(id, 1), time_point());
        directory.publish_soon();
    }

    /// Ignores headers and knows no requests for the plan.
    void set_former_version() { former_version_ = true; }

    /// Whether the answers that were passed on are as long as that many pages.
    bool relayed_pages(std::size_t count) const
    {
        constexpr std::size_t page_size = 5000;
        return link.relayed_bytes() >= count * page_size;
    }

    /// The reply to a directory request.
    coordination::directory_reply
    ask(const coordination::directory_request& request,
        const transport::http_headers& headers)
    {
        const auto answer = std::make_shared<recorded_exchange>();
        handle({"POST", "/v1/directory", headers,
                coordination::encode_message(request)},
               answer);
        return *coordination::decode_directory_reply(answer->response()->body);
    }

    coordination::upstream_registry registry;
    directory_server::view view;
    directory_server directory;
    std::unique_ptr<transport::http2_server> server;
    slow_link link;
    /// Requests that the former version does not know; not answered yet.
    std::vector<std::shared_ptr<transport::http_exchange>> unknown_requests;

private:
    void handle(transport::http_request request,
                const std::shared_ptr<transport::http_exchange>& answer)
    {
        if (former_version_)
        {
            request.headers.clear();
            if (request.path != "/v1/directory")
            {
                unknown_requests.push_back(answer);
                return;
            }
        }
        EXPECT_TRUE(directory.handle(request, answer));
    }

    bool former_version_{false};
};

/// An entry instance behind the slow link of a control instance.
class large_plan : public ::testing::Test
{
protected:
    std::unique_ptr<entry_node> start_entry()
    {
        entry_node_settings settings;
        settings.address = {0x7f000002, 80};
        settings.data_centre = "a";
        settings.seeds = {control_.link.local_endpoint()};
        auto entry =
            std::make_unique<entry_node>(loop_, timers_, settings, log_);
        entry->start();
        return entry;
    }

    /// Runs the loop until the condition holds; false if it does not within
    /// the limit.
    bool run_until(const std::function<bool()>& condition, duration limit)
    {
        bool met = false;
        const auto poll = timers_.every(2ms,
                                        [&](time_point)
                                        {
                                            met = condition();
                                            if (met)
                                            {
                                                loop_.quit();
                                            }
                                        });
        const auto end =
            timers_.after(limit, [this](time_point) { loop_.quit(); });
        loop_.run();
        return met;
    }

    bool run_until_version(const entry_node& entry, std::uint64_t version)
    {
        return run_until([&]
                         { return entry.router().plan_version() >= version; },
                         plan_limit);
    }

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    fleet_log log_{process_log()};
    control_stand_in control_{loop_, timers_};
};

} // namespace

// Guards against a plan that is never in force because the whole of it does not
// arrive within the time limit of one request.
TEST_F(large_plan, reaches_an_entry_instance_over_a_slow_link)
{
    control_.publish(make_numbered_plan(1, route_count));
    const auto entry = start_entry();
    EXPECT_TRUE(run_until_version(*entry, 1));
}

// Guards against records of upstreams that wait until a plan has arrived.
TEST_F(large_plan, does_not_delay_upstreams)
{
    control_.publish(make_numbered_plan(1, route_count));
    const auto entry = start_entry();
    ASSERT_TRUE(run_until([&] { return control_.relayed_pages(3); }, 1s));
    control_.add_upstream(1);
    EXPECT_TRUE(run_until([&] { return entry->router().upstream_count() == 1; },
                          200ms));
    EXPECT_EQ(entry->router().plan_version(), 0U);
}

// Guards against a transfer that starts anew each time the connection is lost
// or the plan has changed.
TEST_F(large_plan, keeps_what_arrived_before_a_connection_was_lost)
{
    auto plan = make_numbered_plan(1, route_count);
    control_.publish(plan);
    const auto entry = start_entry();
    for (std::size_t lost = 1; lost <= 5; ++lost)
    {
        ASSERT_TRUE(
            run_until([&] { return control_.relayed_pages(5 * lost); }, 2s));
        control_.link.cut_connections();
        plan = std::make_shared<state::routing_plan>(*plan);
        ++plan->version;
        ++plan->routes.front().timeout_ms;
        control_.publish(plan);
    }
    EXPECT_TRUE(run_until_version(*entry, plan->version));
    const auto all_pages = route_count / coordination::plan_page_routes;
    EXPECT_LT(control_.directory.plans().pages(), all_pages + 12);
}

// Guards against changes that wait for each other: each of a series must be in
// force within the time limit, also while a large growth is under way.
TEST_F(large_plan, puts_a_series_of_changes_into_force_in_time)
{
    auto plan = make_numbered_plan(1, route_count - 2000);
    control_.publish(plan);
    const auto entry = start_entry();
    ASSERT_TRUE(run_until_version(*entry, 1));
    plan = make_numbered_plan(2, route_count);
    control_.publish(plan);
    for (int change = 0; change < 20; ++change)
    {
        run_until([] { return false; }, 50ms);
        plan = std::make_shared<state::routing_plan>(*plan);
        ++plan->version;
        ++plan->routes[static_cast<std::size_t>(change)].timeout_ms;
        control_.publish(plan);
    }
    EXPECT_TRUE(run_until_version(*entry, plan->version));
}

// Guards against an update of the programs one after the other in which an
// entry instance and a control instance of two versions do not understand each
// other.
TEST_F(large_plan, is_sent_whole_to_an_entry_instance_of_the_former_version)
{
    control_.publish(make_numbered_plan(3, 10));
    coordination::directory_request request;
    request.plan_version = 2;
    const auto reply = control_.ask(request, {});
    ASSERT_TRUE(reply.plan);
    EXPECT_EQ(reply.plan->routes.size(), 10U);
    EXPECT_FALSE(
        control_.ask(request, {{"boragestand-plan", "separate"}}).plan);
}

TEST_F(large_plan, is_taken_whole_from_a_control_instance_of_the_former_version)
{
    control_.set_former_version();
    control_.publish(make_numbered_plan(1, 10));
    const auto entry = start_entry();
    ASSERT_TRUE(run_until_version(*entry, 1));
    control_.publish(make_numbered_plan(2, 12));
    ASSERT_TRUE(run_until_version(*entry, 2));
    EXPECT_EQ(entry->router().route_count(), 12U);
    EXPECT_EQ(control_.directory.plans().pages(), 0U);
}

// Guards against an entry instance that fails because a control instance of the
// former version has taken over while a page of the plan was outstanding.
TEST_F(large_plan, is_replaced_by_a_whole_plan_during_its_transfer)
{
    control_.publish(make_numbered_plan(1, route_count));
    const auto entry = start_entry();
    ASSERT_TRUE(run_until([&] { return control_.relayed_pages(3); }, 1s));
    control_.set_former_version();
    ASSERT_TRUE(
        run_until([&] { return control_.unknown_requests.size() == 1; }, 1s));
    control_.publish(make_numbered_plan(2, 10));
    run_until([] { return false; }, 100ms);
    control_.publish(make_numbered_plan(3, 10));
    ASSERT_TRUE(run_until_version(*entry, 3));
    ASSERT_EQ(control_.unknown_requests.size(), 1U);
    control_.unknown_requests.front()->respond(
        {.status = 404, .headers = {}, .body = {}});
    run_until([] { return false; }, 200ms);
    EXPECT_EQ(entry->router().route_count(), 10U);
}

} // namespace boragestand::fleet
