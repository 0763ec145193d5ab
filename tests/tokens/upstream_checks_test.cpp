#include "coordination/coordination.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace boragestand::coordination
{

namespace
{

registered_upstream valid_upstream()
{
    registered_upstream value;
    value.id = 1;
    value.service = "desk";
    value.address = {0x0a000001, 8080};
    value.data_centre = "a";
    value.incarnation = 1783998858000;
    value.sequence = 4;
    value.slots = 2;
    return value;
}

struct odd_upstream
{
    const char* name;
    std::function<void(registered_upstream&)> make_odd;
};

class odd_upstreams : public testing::TestWithParam<odd_upstream>
{
};

} // namespace

TEST(check_upstream, takes_what_can_be_used)
{
    EXPECT_TRUE(check_upstream(valid_upstream()));
}

// Guards against a single record that makes replies too long to be read, takes
// all flows, or makes its identity unusable for good.
TEST_P(odd_upstreams, are_refused)
{
    auto value = valid_upstream();
    GetParam().make_odd(value);
    const auto checked = check_upstream(value);
    ASSERT_FALSE(checked);
    EXPECT_EQ(checked.error().kind, error_kind::invalid_argument);
}

INSTANTIATE_TEST_SUITE_P(
    fields, odd_upstreams,
    testing::Values(odd_upstream{"no_service",
                                 [](auto& value)
                                 {
                                     value.service.clear();
                                 }},
                    odd_upstream{"long_service",
                                 [](auto& value)
                                 {
                                     value.service.assign(256, 'x');
                                 }},
                    odd_upstream{"no_data_centre",
                                 [](auto& value)
                                 {
                                     value.data_centre.clear();
                                 }},
                    odd_upstream{"long_data_centre",
                                 [](auto& value)
                                 {
                                     value.data_centre.assign(256, 'x');
                                 }},
                    odd_upstream{"no_port",
                                 [](auto& value)
                                 {
                                     value.address.port = 0;
                                 }},
                    odd_upstream{"no_address",
                                 [](auto& value)
                                 {
                                     value.address.address = 0;
                                 }},
                    odd_upstream{"multicast",
                                 [](auto& value)
                                 {
                                     value.address.address = 0xe0000001;
                                 }},
                    odd_upstream{"broadcast",
                                 [](auto& value)
                                 {
                                     value.address.address = 0xffffffff;
                                 }},
                    odd_upstream{"slots",
                                 [](auto& value)
                                 {
                                     value.slots = 65536;
                                 }},
                    odd_upstream{"incarnation",
                                 [](auto& value)
                                 {
                                     value.incarnation = std::uint64_t{1} << 53;
                                 }},
                    odd_upstream{"sequence",
                                 [](auto& value)
                                 {
                                     value.sequence = std::uint64_t{1} << 53;
                                 }}),
    [](const auto& test) { return std::string(test.param.name); });

} // namespace boragestand::coordination
