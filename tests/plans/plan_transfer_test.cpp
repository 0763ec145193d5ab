#include "plan_fixture.hpp"

namespace boragestand::coordination
{

namespace
{

constexpr std::size_t large = 10000;
constexpr std::size_t whole_pages =
    (large + plan_page_routes - 1) / plan_page_routes;

void change_first_route(state::routing_plan& plan)
{
    plan.routes.front().timeout_ms += 500;
}

/// Bytes of a change of one route of a plan of this size.
std::size_t bytes_of_one_change(std::size_t routes)
{
    plan_publisher source;
    const auto first = make_numbered_plan(1, routes);
    source.publish(first);
    plan_reader reader;
    reader.request_plan(source);
    source.publish(change_plan(*first, change_first_route));
    return reader.request_plan(source).bytes;
}

} // namespace

// Guards against changes that cost more the larger the plan is.
TEST(plan_transfer, costs_the_same_for_one_change_of_any_plan)
{
    const auto small_plan = bytes_of_one_change(1000);
    EXPECT_LT(small_plan, 200U);
    EXPECT_EQ(bytes_of_one_change(10000), small_plan);
}

// Guards against a page that takes long on a small link.
TEST(plan_transfer, sends_a_large_plan_in_small_pages)
{
    plan_publisher source;
    const auto plan = make_numbered_plan(1, large);
    source.publish(plan);
    plan_reader reader;
    std::size_t sent = 0;
    bool complete = false;
    while (!complete)
    {
        complete = reader.request_page(source);
        EXPECT_LT(reader.cost.bytes - sent, 12000U);
        sent = reader.cost.bytes;
    }
    EXPECT_TRUE(reader.plan.is(*plan));
    EXPECT_EQ(reader.cost.pages, whole_pages);
}

// Guards against a growth that costs the whole plan.
TEST(plan_transfer, sends_a_growth_in_pages_of_its_own)
{
    plan_publisher source;
    source.publish(make_numbered_plan(1, large));
    plan_reader reader;
    reader.request_plan(source);
    const auto grown = make_numbered_plan(2, large + 4 * plan_page_routes);
    source.publish(grown);
    EXPECT_EQ(reader.request_plan(source).pages, 4U);
    EXPECT_TRUE(reader.plan.is(*grown));
}

// Guards against routes and settings that stay although a version has dropped
// or changed them.
TEST(plan_transfer, removes_routes_and_replaces_settings)
{
    plan_publisher source;
    const auto first = make_numbered_plan(1, 20);
    source.publish(first);
    plan_reader reader;
    reader.request_plan(source);
    const auto second =
        change_plan(*first,
                    [](state::routing_plan& plan)
                    {
                        plan.routes.erase(plan.routes.begin());
                        plan.routes.push_back(make_numbered_route(50));
                        plan.services.push_back({"maps", "", 0});
                        plan.idle_timeout_ms = 7000;
                    });
    source.publish(second);
    reader.request_plan(source);
    EXPECT_TRUE(reader.plan.is(*second));
}

// Guards against versions that are all sent although newer ones have replaced
// them.
TEST(plan_transfer, skips_versions_that_were_replaced)
{
    plan_publisher source;
    std::shared_ptr<const state::routing_plan> plan =
        make_numbered_plan(1, 1000);
    source.publish(plan);
    plan_reader reader;
    reader.request_plan(source);
    for (int i = 0; i < 50; ++i)
    {
        plan = change_plan(*plan, change_first_route);
        source.publish(plan);
    }
    EXPECT_EQ(reader.request_plan(source).pages, 1U);
    EXPECT_TRUE(reader.plan.is(*plan));
}

// Guards against a transfer that starts anew at another control instance, which
// has a newer version and knows no earlier one.
TEST(plan_transfer, keeps_pages_over_another_source_and_a_newer_version)
{
    plan_publisher former;
    const auto first = make_numbered_plan(1, large);
    former.publish(first);
    plan_reader reader;
    for (std::size_t page = 0; page + 1 < whole_pages; ++page)
    {
        EXPECT_FALSE(reader.request_page(former));
    }
    plan_publisher other;
    const auto second = change_plan(*first, change_first_route);
    other.publish(second);
    reader.request_plan(other);
    EXPECT_TRUE(reader.plan.is(*second));
    // The last page, the comparison and the one part with the changed route.
    EXPECT_LE(reader.cost.pages, 2U);
}

// Guards against a transfer that never ends because the plan keeps changing.
TEST(plan_transfer, ends_while_every_page_meets_a_newer_version)
{
    plan_publisher source;
    std::shared_ptr<const state::routing_plan> plan =
        make_numbered_plan(1, large);
    source.publish(plan);
    plan_reader reader;
    bool complete = false;
    std::size_t changed = 0;
    while (!complete && reader.cost.pages < 2 * whole_pages)
    {
        plan = change_plan(*plan,
                           [&](state::routing_plan& next)
                           {
                               changed = (changed + 4871) % large;
                               next.routes[changed].timeout_ms += 500;
                           });
        source.publish(plan);
        complete = reader.request_page(source);
    }
    EXPECT_TRUE(complete);
    EXPECT_TRUE(reader.plan.is(*plan));
}

// Guards against a whole plan for an instance whose version the control
// instance does not know, for example after its own restart.
TEST(plan_transfer, compares_parts_with_a_source_that_knows_no_former_version)
{
    plan_publisher former;
    const auto first = make_numbered_plan(1, large);
    former.publish(first);
    plan_reader reader;
    reader.request_plan(former);
    plan_publisher restarted;
    const auto second = change_plan(*first, change_first_route);
    restarted.publish(second);
    EXPECT_LE(reader.request_plan(restarted).pages, 2U);
    EXPECT_TRUE(reader.plan.is(*second));
}

// Guards against an older plan of a control instance that lags behind.
TEST(plan_transfer, ignores_an_older_source)
{
    plan_publisher current;
    current.publish(make_numbered_plan(5, 10));
    plan_reader reader;
    reader.request_plan(current);
    plan_publisher stale;
    stale.publish(make_numbered_plan(4, 8));
    EXPECT_FALSE(reader.request_page(stale));
    EXPECT_EQ(reader.copy.version(), 5U);
}

// Guards against two contents of one version, of which an entry instance could
// keep the wrong one.
TEST(plan_transfer, replaces_a_version_with_another_content)
{
    plan_publisher source;
    source.publish(make_numbered_plan(1, 600));
    const auto second = make_numbered_plan(2, 500);
    source.publish(second);
    plan_publisher other;
    other.publish(change_plan(*make_numbered_plan(0, 600), change_first_route));
    plan_reader reader;
    reader.request_plan(other);
    reader.request_plan(source);
    EXPECT_TRUE(reader.plan.is(*second));
}

// Guards against an entry instance that cannot go on with a plan from a control
// instance of the version before, which sends it whole.
TEST(plan_transfer, continues_after_a_whole_plan_of_an_earlier_program)
{
    const auto first = make_numbered_plan(1, 1000);
    plan_reader reader;
    reader.plan.apply(*reader.copy.replace(*first));
    EXPECT_TRUE(reader.plan.is(*first));
    EXPECT_FALSE(reader.copy.replace(*first));
    plan_publisher source;
    source.publish(first);
    const auto second = change_plan(*first, change_first_route);
    source.publish(second);
    EXPECT_EQ(reader.request_plan(source).pages, 1U);
    EXPECT_TRUE(reader.plan.is(*second));
}

// Guards against a plan in force that a damaged page has changed.
TEST(plan_transfer, discards_what_a_page_without_sense_has_changed)
{
    plan_publisher source;
    const auto first = make_numbered_plan(1, 1000);
    source.publish(first);
    plan_reader reader;
    reader.request_plan(source);
    plan_page page;
    page.version = 2;
    page.content =
        plan_changes{{state::encode_route(make_numbered_route(2000)), "?"},
                     {},
                     std::nullopt};
    EXPECT_FALSE(reader.copy.apply(page));
    page.content = plan_parts{{{7, {}}}};
    EXPECT_FALSE(reader.copy.apply(page));
    page.content = plan_comparison{3};
    EXPECT_FALSE(reader.copy.apply(page));
    const auto second = change_plan(*first, change_first_route);
    source.publish(second);
    EXPECT_EQ(reader.request_plan(source).pages, 1U);
    EXPECT_TRUE(reader.plan.is(*second));
}

// Guards against requests that make a control instance fail.
TEST(plan_transfer, refuses_a_number_of_parts_that_is_no_power_of_two)
{
    plan_request request;
    request.part_digests.resize(3);
    EXPECT_FALSE(decode_plan_request(encode_message(request)));
    EXPECT_FALSE(decode_plan_request("?"));
    EXPECT_FALSE(decode_plan_page("?"));
}

} // namespace boragestand::coordination
