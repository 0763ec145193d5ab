#include "state/compression.hpp"
#include "state/routing_plan_fields.hpp"
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

// Guards against a log that fills the disk because plans are stored as long as
// they are, and against a tag of fleet_command.cpp that a plan begins with.
TEST(plan_encoding, compresses_documents)
{
    std::string document;
    for (int route = 0; route < 1400; ++route)
    {
        document += R"({"name":"route)" + std::to_string(route) +
                    R"(","services":[{"service":"desk","weight":1}]},)";
    }
    const auto text = encode_plan(make_plan(9, document));
    EXPECT_LT(text.size(), document.size() / 5);
    EXPECT_NE(text[0], '\xc1');
    EXPECT_EQ(decode_submitted_plan(text)->document, document);
}

// Guards against a control instance that cannot read its log after an update
// from the version that did not compress plans.
TEST(plan_encoding, reads_uncompressed_plans_of_the_previous_version)
{
    const auto value = make_plan(9, "the document");
    const auto bytes = codec::encode(value);
    const auto decoded = decode_submitted_plan(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, value);
}

// Guards against damaged or truncated data that is read as another plan, read
// out of bounds, or ends the process by an exception.
TEST(plan_encoding, refuses_damaged_compressed_plans)
{
    const auto text = encode_plan(make_plan(9, std::string(3000, 'x')));
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        SCOPED_TRACE(at);
        auto damaged = text;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x41);
        EXPECT_FALSE(decode_submitted_plan(damaged));
        EXPECT_FALSE(decode_submitted_plan(text.substr(0, at)));
    }
    EXPECT_FALSE(decode_submitted_plan(text + "x"));
    EXPECT_FALSE(decode_submitted_plan(text + text));
}

// Guards against a few bytes that make an instance allocate gigabytes.
TEST(plan_encoding, bounds_the_size_of_what_it_decompresses)
{
    const std::string plain(5000, 'x');
    const auto bytes = compress(plain);
    EXPECT_EQ(decompress(bytes, 5000), plain);
    EXPECT_EQ(decompress(bytes, 4999).error().kind,
              error_kind::malformed_message);
    const auto large =
        compress(std::string(protocol::max_agreement_message_size + 1, 'x'));
    EXPECT_LT(large.size(), 4096U);
    EXPECT_FALSE(decode_submitted_plan(large));
    // A frame header that states 2^62 bytes.
    const std::string header("\x28\xb5\x2f\xfd\xe0\0\0\0\0\0\0\0\x40", 13);
    EXPECT_FALSE(decode_submitted_plan(header));
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
