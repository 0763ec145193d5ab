#include "state/state.hpp"

#include <gtest/gtest.h>

namespace boragestand::state
{

namespace
{

routing_plan good_plan()
{
    routing_plan plan;
    plan.version = 7;
    plan.services = {{"desk", "/h", 2000}, {"maps", "/h", 0, 20000, 500}};
    service_route moves{"r", {0xc6120001, 443}, {{"desk", 1}}};
    moves.timeout_ms = 2000;
    moves.target_latency_ms = 400;
    service_route uploads{"s", {0xc6120001, 444}, {{"desk", 9}, {"maps", 1}}};
    uploads.kind = request_kind::upload;
    uploads.timeout_ms = 6000;
    uploads.target_latency_ms = 1500;
    plan.routes = {moves, uploads};
    plan.idle_timeout_ms = 15000;
    return plan;
}

std::string lines_of(const std::vector<plan_finding>& findings)
{
    std::string lines;
    for (const auto& each : findings)
    {
        lines += std::string(to_text(each.severity)) + ": " + to_string(each);
        lines += '\n';
    }
    return lines;
}

struct oddity
{
    const char* name;
    void (*change)(routing_plan&);
    double link_mbps;
    const char* expected; ///< start of the only line; empty: none
};

class plan_oddities : public testing::TestWithParam<oddity>
{
};

} // namespace

// Guards against plans that are accepted although a part of them never has an
// effect, and against findings in plans that are as intended.
TEST_P(plan_oddities, are_found_without_others)
{
    auto plan = good_plan();
    GetParam().change(plan);
    EXPECT_TRUE(check_plan(plan));
    const auto lines =
        lines_of(find_plan_oddities(plan, {GetParam().link_mbps}));
    const std::string expected = GetParam().expected;
    EXPECT_EQ(lines.substr(0, expected.size()), expected);
    EXPECT_EQ(lines.empty(), expected.empty()) << lines;
    EXPECT_EQ(lines.find('\n') + 1, lines.size()) << lines;
}

INSTANTIATE_TEST_SUITE_P(
    rules, plan_oddities,
    testing::Values(
        oddity{"none", [](routing_plan&) {}, 3.4, ""},
        oddity{"unused_service",
               [](routing_plan& p) { p.routes[1].services.pop_back(); }, 0,
               "warning: service \"maps\" is named by no route"},
        oddity{"weight_0",
               [](routing_plan& p) { p.routes[1].services[1].weight = 0; }, 0,
               "warning: route \"s\" gives service \"maps\" weight 0"},
        oddity{"service_twice",
               [](routing_plan& p) {
                   p.routes[0].services.push_back({"desk", 2});
               },
               0, "warning: route \"r\" names service \"desk\" again"},
        oddity{"multicast",
               [](routing_plan& p)
               { p.routes[0].address.address = 224U << 24; },
               0, "warning: route \"r\" can never match: 224.0.0.0:443"},
        oddity{"repeated_name", [](routing_plan& p) { p.routes[1].name = "r"; },
               0, "warning: route \"r\" has the name of an earlier route"},
        oddity{"timeout_under_objective",
               [](routing_plan& p) { p.routes[0].timeout_ms = 399; }, 0,
               "warning: route \"r\" has a timeout of 399 ms under its "
               "objective; expected at least 400 ms"},
        oddity{"idle_under_timeout",
               [](routing_plan& p) { p.idle_timeout_ms = 5999; }, 0,
               "warning: route \"s\" has a timeout of 6000 ms over the idle"},
        oddity{"rate_without_time",
               [](routing_plan& p) { p.services[1].warmup_ms = 0; }, 0,
               "warning: service \"maps\" has a warm-up rate without a "
               "warm-up time"},
        oddity{"rate_under_one_request",
               [](routing_plan& p) { p.services[1].warmup_ms = 1999; }, 0,
               "warning: service \"maps\" has a warm-up rate of 500 requests "
               "per 1000 s, less than one"},
        oddity{"link_misses_objective", [](routing_plan&) {}, 0.4,
               "note: route \"s\" usually sends 80000 bytes, which an idle "
               "link carries in 1600 ms; expected at most the objective"},
        oddity{"link_misses_timeout", [](routing_plan&) {}, 0.1,
               "warning: route \"s\" usually sends 80000 bytes, which an idle "
               "link carries in 6400 ms; expected at most the timeout"}),
    [](const auto& each) { return each.param.name; });

// Guards against a second fault that is found only after the first is mended,
// and against a refusal that names another fault than the list.
TEST(plan_errors, are_all_listed_and_the_first_refuses)
{
    auto plan = good_plan();
    plan.version = 0;
    plan.routes[0].timeout_ms = 0;
    plan.routes[0].services[0].service = "x";
    plan.routes[1].address = plan.routes[0].address;
    plan.services.push_back(plan.services[0]);
    const auto errors = find_plan_errors(plan);
    ASSERT_EQ(errors.size(), 5U) << lines_of(errors);
    EXPECT_EQ(check_plan(plan).error().message, to_string(errors[0]));
}

// Guards against a change of which operators expect another effect on open
// flows than it has, and against one that has no effect at all.
TEST(plan_comparison, tells_what_changes_for_open_flows)
{
    const auto in_force = good_plan();
    auto proposed = good_plan();
    EXPECT_EQ(lines_of(compare_plans(in_force, proposed)),
              "note: version and content are those of the other plan: sending "
              "it changes nothing\n");
    proposed.routes[0].address.port = 445;
    proposed.routes[1].services.pop_back();
    proposed.routes[1].timeout_ms = 5000;
    proposed.services[0].max_connections = 10;
    EXPECT_EQ(
        lines_of(compare_plans(in_force, proposed)),
        "error: version is 7, so the plan is acknowledged but has no effect; "
        "expected above 7\n"
        "note: route \"s\" changes the services of new flows from \"desk\" 9, "
        "\"maps\" 1 to \"desk\" 9: open flows stay until they end on their "
        "upstreams\n"
        "note: route \"s\" changes its timeout in ms from 6000 to 5000: open "
        "flows stay, their next packets are handled by the new value\n"
        "note: route \"r\" newly serves 198.18.0.1:445: new flows are placed "
        "on \"desk\" 1\n"
        "warning: route \"r\" no longer serves 198.18.0.1:443: new flows are "
        "reset; open flows stay until they end, without the limits of the "
        "route\n"
        "note: service \"desk\" changes its connections per upstream from "
        "2000 to 10: open flows stay\n"
        "warning: service \"maps\" gets no new flows any more; open flows stay "
        "until they end\n");
}

} // namespace boragestand::state
