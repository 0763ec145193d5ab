#include "message_codec.hpp"
#include "packet_codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace boragestand::platform
{

namespace
{

std::vector<std::byte> bytes_of(std::initializer_list<int> values)
{
    std::vector<std::byte> bytes;
    for (const int value : values)
    {
        bytes.push_back(static_cast<std::byte>(value));
    }
    return bytes;
}

// A SYN from 100.64.0.7:40001 to 198.18.0.1:443, sequence 0x11223344.
std::vector<std::byte> example_syn()
{
    return bytes_of({0x01, 0xbb, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01,
                     0x64, 0x40, 0x00, 0x07, 0x10, 0x00, 0x11, 0x22,
                     0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2,
                     0xc3, 0xd5, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00});
}

nlohmann::json heartbeat()
{
    return {{"Service", "desk"},    {"Address", "10.1.0.9:8080"},
            {"Zone", "a"},          {"Version", "v1"},
            {"Capacity", 2},        {"State", "ready"},
            {"WarmupLeftMs", 0},    {"Sequence", 4},
            {"born", 1783998858000}};
}

nlohmann::json plan()
{
    return nlohmann::json::parse(R"({"Version":7,"Routes":[
        {"Name":"r","Hostname":"198.18.0.1","PathPrefix":"/8080/",
         "Type":"non_idempotent","TimeoutMs":1200,"TargetLatencyMs":200,
         "Priority":1,"Service":"desk","Attempts":2},
        {"Name":"s","Hostname":"198.18.0.1","PathPrefix":"/8443/",
         "Type":"idempotent","TimeoutMs":1000,
         "Backends":[{"Service":"desk","Weight":90},
                     {"Service":"maps","Weight":10}]}],
        "Services":[{"Name":"desk"},{"Name":"maps","MaxConnections":2000}],
        "Limits":{"IdleTimeoutMs":15000}})");
}

} // namespace

// Guards against fields read from the wrong place.
TEST(packet_codec, reads_the_published_example)
{
    const auto packet = decode_packet(example_syn());
    ASSERT_TRUE(packet);
    EXPECT_EQ(transport::to_string(packet->flow.caller), "100.64.0.7:40001");
    EXPECT_EQ(transport::to_string(packet->flow.destination), "198.18.0.1:443");
    EXPECT_TRUE(packet->syn);
    EXPECT_FALSE(packet->ack || packet->fin || packet->rst);
    EXPECT_EQ(packet->sequence, 0x11223344U);
    EXPECT_EQ(packet->token, 0U);
}

// Guards against a reset that callers do not match to their flow.
TEST(packet_codec, writes_the_published_reset)
{
    const auto packet = decode_packet(example_syn());
    const auto reset = make_reset(packet->flow);
    const auto expected = bytes_of(
        {0x9c, 0x41, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00,
         0x01, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
         0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00});
    EXPECT_EQ(std::vector(reset.begin(), reset.end()), expected);
}

// Guards against a change of fields that the keyed checksum covers.
TEST(packet_codec, changes_only_the_token)
{
    auto datagram = example_syn();
    const auto before = datagram;
    write_token(datagram, 0xdeadbeef);
    EXPECT_EQ(decode_packet(datagram)->token, 0xdeadbeefU);
    EXPECT_TRUE(
        std::equal(before.begin(), before.begin() + 28, datagram.begin()));
}

// Guards against reads beyond the end of short or padded datagrams.
TEST(packet_codec, refuses_datagrams_of_another_length)
{
    const auto whole = example_syn();
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        EXPECT_FALSE(decode_packet(std::span(whole).first(size)));
    }
    auto longer = whole;
    longer.push_back({});
    EXPECT_FALSE(decode_packet(longer));
}

// Guards against an upstream that accepts packets for another one.
TEST(packet_codec, names_the_upstream_in_front)
{
    EXPECT_EQ(decode_identity("i-7f3a91c2"), 0x7f3a91c2U);
    const auto prefix = upstream_prefix(0x7f3a91c2);
    const auto expected = bytes_of({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2});
    EXPECT_EQ(std::vector(prefix.begin(), prefix.end()), expected);
    for (const auto* text : {"", "i-", "i-xyz", "i-123456789abcdef01"})
    {
        EXPECT_FALSE(decode_identity(text)) << text;
    }
}

TEST(message_codec, reads_a_heartbeat)
{
    const auto record = decode_heartbeat(5, heartbeat().dump());
    ASSERT_TRUE(record);
    EXPECT_EQ(record->id, 5U);
    EXPECT_EQ(record->service, "desk");
    EXPECT_EQ(transport::to_string(record->address), "10.1.0.9:8080");
    EXPECT_EQ(record->incarnation, 1783998858000U);
    EXPECT_EQ(record->sequence, 4U);
    EXPECT_EQ(record->condition, coordination::upstream_condition::ready);
}

// Guards against upstreams that are registered from malformed heartbeats.
TEST(message_codec, refuses_heartbeats_with_faults)
{
    for (const auto* name : {"Service", "Address", "Zone", "Capacity", "State",
                             "WarmupLeftMs", "Sequence", "born"})
    {
        auto missing = heartbeat();
        missing.erase(name);
        EXPECT_FALSE(decode_heartbeat(5, missing.dump())) << name;
        auto other_type = heartbeat();
        other_type[name] = nlohmann::json::array();
        EXPECT_FALSE(decode_heartbeat(5, other_type.dump())) << name;
    }
    auto unknown = heartbeat();
    unknown["State"] = "sleeping";
    EXPECT_FALSE(decode_heartbeat(5, unknown.dump()));
    const auto text = heartbeat().dump();
    EXPECT_FALSE(decode_heartbeat(5, text.substr(0, text.size() / 2)));
    EXPECT_FALSE(decode_heartbeat(5, "\xff\xfe"));
}

// Guards against control instances that run out of memory on a heartbeat of
// another writer: 4 MB of brackets took over 300 MB when they were parsed.
TEST(message_codec, refuses_deeply_nested_and_long_messages)
{
    const auto with_field = [](const std::string& value)
    {
        auto text = heartbeat().dump();
        text.pop_back();
        return text + ",\"more\":" + value + "}";
    };
    const auto nested = [](std::size_t levels)
    {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    EXPECT_TRUE(decode_heartbeat(5, with_field(nested(8))));
    EXPECT_TRUE(decode_heartbeat(5, with_field('"' + nested(1000) + '"')))
        << "brackets in a text nest nothing";
    EXPECT_FALSE(decode_heartbeat(5, with_field(nested(1000))));
    EXPECT_FALSE(
        decode_heartbeat(5, with_field('"' + std::string(100'000, 'x') + '"')));
    EXPECT_FALSE(decode_leave(R"({"born":7,"more":)" + nested(1000) + "}"));
    auto document = plan().dump();
    document.pop_back();
    EXPECT_FALSE(
        decode_plan_document(document + ",\"more\":" + nested(1000) + "}"));
}

TEST(message_codec, reads_a_plan_and_keeps_its_text)
{
    const auto text = plan().dump();
    const auto value = decode_plan_document(text);
    ASSERT_TRUE(value) << value.error().message;
    EXPECT_EQ(value->document, text);
    EXPECT_EQ(value->plan.version, 7U);
    ASSERT_EQ(value->plan.routes.size(), 2U);
    EXPECT_EQ(value->plan.routes[0].address.port, 8080);
    EXPECT_EQ(value->plan.routes[1].services.size(), 2U);
    EXPECT_EQ(value->plan.idle_timeout_ms, 15000U);
    EXPECT_TRUE(state::check_plan(value->plan));
}

struct plan_word
{
    const char* name;
    const char* route_patch; ///< merged into the first route
    bool accepted;
    state::request_kind kind;
};

class plan_words : public testing::TestWithParam<plan_word>
{
};

// Guards against a whole configuration that is refused for one word, field or
// null of a newer version, and against a route whose service is not certain.
TEST_P(plan_words, decide_for_each_deviation)
{
    auto document = plan();
    document["Routes"][0].merge_patch(
        nlohmann::json::parse(GetParam().route_patch));
    const auto decoded = decode_plan_document(document.dump());
    ASSERT_EQ(decoded.has_value(), GetParam().accepted);
    if (decoded)
    {
        EXPECT_EQ(decoded->plan.routes[0].kind, GetParam().kind);
    }
}

using state::request_kind;
INSTANTIATE_TEST_SUITE_P(
    routes, plan_words,
    testing::Values(
        plan_word{"upload", R"({"Type":"upload"})", true, request_kind::upload},
        plan_word{"new_kind", R"({"Type":"stream"})", true,
                  request_kind::unknown},
        plan_word{"kind_of_other_type", R"({"Type":7})", true,
                  request_kind::unknown},
        plan_word{"no_kind", R"({"Type":null})", true, request_kind::unknown},
        plan_word{"new_field", R"({"Colour":{"x":[1]}})", true,
                  request_kind::non_idempotent},
        plan_word{"no_objective", R"({"TargetLatencyMs":null})", true,
                  request_kind::non_idempotent},
        plan_word{"odd_priority", R"({"Priority":"high"})", true,
                  request_kind::non_idempotent},
        plan_word{"fractional_timeout", R"({"TimeoutMs":0.5})", true,
                  request_kind::non_idempotent},
        plan_word{"negative_timeout", R"({"TimeoutMs":-1.5})", false,
                  request_kind::non_idempotent},
        plan_word{"text_timeout", R"({"TimeoutMs":"1s"})", false,
                  request_kind::non_idempotent},
        plan_word{"no_service", R"({"Service":null})", false,
                  request_kind::non_idempotent},
        plan_word{"no_address", R"({"Hostname":null})", false,
                  request_kind::non_idempotent}),
    [](const auto& each) { return each.param.name; });

// Guards against optional members that a writer leaves out as null.
TEST(message_codec, takes_null_for_a_missing_optional_field)
{
    auto document = plan();
    document["Limits"] = nullptr;
    document["Services"][0]["HealthPath"] = nullptr;
    document["Services"][1]["MaxConnections"] = nullptr;
    document["Routes"][0]["Backends"] = nullptr;
    const auto decoded = decode_plan_document(document.dump());
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_TRUE(state::check_plan(decoded->plan));
    EXPECT_EQ(decoded->plan.routes[0].services[0].service, "desk");
}

// Guards against routes that change with kinds, fields and orders that a later
// version adds.
RC_GTEST_PROP(message_codec, reads_routes_beside_unknown_content, ())
{
    const auto text =
        rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    const auto kind = *text;
    const auto name = *text;
    auto document = plan();
    const auto expected = decode_plan_document(document.dump())->plan;
    document["Routes"][0]["Type"] = kind;
    document["Routes"][0]["x-" + name] = *rc::gen::arbitrary<int>();
    document["x-" + name] = {{name, kind}};
    const auto decoded = decode_plan_document(document.dump());
    RC_ASSERT(decoded.has_value());
    auto plan = decoded->plan;
    plan.routes[0].kind = expected.routes[0].kind;
    RC_ASSERT(plan == expected);
}

// Guards against plans that are acknowledged although they cannot be decoded.
TEST(message_codec, refuses_plans_that_cannot_be_read)
{
    const auto text = plan().dump();
    for (std::size_t size = 0; size < text.size(); size += 7)
    {
        EXPECT_FALSE(decode_plan_document(text.substr(0, size)));
    }
    auto no_weight = plan();
    no_weight["Routes"][1]["Backends"][0].erase("Weight");
    EXPECT_FALSE(decode_plan_document(no_weight.dump()));
    auto no_timeout = plan();
    no_timeout["Routes"][0].erase("TimeoutMs");
    EXPECT_FALSE(decode_plan_document(no_timeout.dump()));
    auto no_port = plan();
    no_port["Routes"][0]["PathPrefix"] = "/x/";
    EXPECT_FALSE(decode_plan_document(no_port.dump()));
    for (const auto* name : {"Version", "Routes", "Services"})
    {
        auto missing = plan();
        missing.erase(name);
        EXPECT_FALSE(decode_plan_document(missing.dump())) << name;
    }
}

} // namespace boragestand::platform
