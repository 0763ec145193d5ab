#include "state/state.hpp"

#include <gtest/gtest.h>

namespace boragestand::state
{

namespace
{

submitted_plan make_plan(std::uint64_t version,
                         const std::string& document = "{}")
{
    submitted_plan value;
    value.plan.version = version;
    value.plan.services = {{"desk", "/health", 2000}};
    service_route route;
    route.name = "r";
    route.address = {1, 443};
    route.services = {{"desk", 1}};
    route.timeout_ms = 1000;
    value.plan.routes = {route};
    value.document = document;
    return value;
}

} // namespace

// Guards against a plan in force that is replaced by an older plan or by
// another plan of the same version.
TEST(plan_register, keeps_the_highest_version_and_the_first_of_equal_ones)
{
    plan_register plans;
    EXPECT_EQ(plans.current()->plan.version, 0U);
    EXPECT_EQ(plans.apply(make_plan(7, "first")), plan_outcome::in_force);
    EXPECT_EQ(plans.apply(make_plan(7, "second")), plan_outcome::superseded);
    EXPECT_EQ(plans.apply(make_plan(3)), plan_outcome::superseded);
    EXPECT_EQ(plans.current()->document, "first");
    EXPECT_EQ(plans.apply(make_plan(20, "later")), plan_outcome::in_force);
    EXPECT_EQ(plans.current()->document, "later");
}

struct invalid_plan
{
    const char* name;
    void (*invalidate)(routing_plan&);
};

class plan_check : public testing::TestWithParam<invalid_plan>
{
};

// Guards against invalid plans that are accepted.
TEST_P(plan_check, refuses)
{
    auto value = make_plan(1).plan;
    ASSERT_TRUE(check_plan(value));
    GetParam().invalidate(value);
    const auto checked = check_plan(value);
    ASSERT_FALSE(checked);
    EXPECT_EQ(checked.error().kind, error_kind::invalid_argument);
}

INSTANTIATE_TEST_SUITE_P(
    faults, plan_check,
    testing::Values(invalid_plan{"no_version",
                                 [](routing_plan& p)
                                 {
                                     p.version = 0;
                                 }},
                    invalid_plan{"no_timeout",
                                 [](routing_plan& p)
                                 {
                                     p.routes[0].timeout_ms = 0;
                                 }},
                    invalid_plan{"unknown_service",
                                 [](routing_plan& p)
                                 {
                                     p.routes[0].services[0].service = "x";
                                 }},
                    invalid_plan{"no_service",
                                 [](routing_plan& p)
                                 {
                                     p.routes[0].services.clear();
                                 }},
                    invalid_plan{"no_weight",
                                 [](routing_plan& p)
                                 {
                                     p.routes[0].services[0].weight = 0;
                                 }},
                    invalid_plan{"same_address",
                                 [](routing_plan& p)
                                 {
                                     p.routes.push_back(p.routes[0]);
                                 }},
                    invalid_plan{"same_service",
                                 [](routing_plan& p)
                                 {
                                     p.services.push_back(p.services[0]);
                                 }}),
    [](const auto& each) { return each.param.name; });

// Guards against plans that encoding and decoding change.
TEST(plan_encoding, gives_back_what_was_encoded)
{
    const auto value = make_plan(9, "the document");
    const auto text = encode_plan(value);
    const auto decoded = decode_submitted_plan(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, value);
    EXPECT_FALSE(decode_submitted_plan(text.substr(1)));
    EXPECT_FALSE(decode_submitted_plan(""));
}

// Guards against a replica that ends because another one, of a newer version,
// has stored a kind that it does not know.
TEST(plan_encoding, reads_kinds_of_a_newer_version_as_unknown)
{
    auto value = make_plan(9);
    for (const auto kind : {request_kind::upload, request_kind::unknown,
                            static_cast<request_kind>(100)})
    {
        value.plan.routes[0].kind = kind;
        const auto decoded = decode_submitted_plan(encode_plan(value));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->plan.routes[0].kind,
                  std::min(kind, request_kind::unknown));
    }
}

} // namespace boragestand::state
