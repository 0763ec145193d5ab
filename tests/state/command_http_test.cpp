#include "state/state.hpp"

#include <gtest/gtest.h>

#include "state_builders.hpp"

namespace boragestand::state
{

// Guards against a command that changes between its HTTP form and back.
TEST(command_http, requests_read_back_equal)
{
    const request_identity identity{"tool-1", 1790000000000};
    const std::vector<command_action> actions{
        submit_note{first_note}, record_agreement{"Ann", "desk", "far", 5, 60},
        withdraw_agreement{17}, set_drain{"desk", "d-01", false}};
    for (const command_action& action : actions)
    {
        const transport::http_request request = to_http(action, identity);
        EXPECT_TRUE(is_command(request));
        EXPECT_EQ(parse_action(request), action);
        EXPECT_EQ(parse_identity(request.headers), identity);
    }
}

// Guards against malformed requests that crash the control instance or run as
// something else.
TEST(command_http, refuses_malformed_requests)
{
    struct fault_case
    {
        transport::http_request request;
        error_kind kind;
    };
    const std::vector<fault_case> faults{
        {{"PUT", "/v1/notes", {}, ""}, error_kind::not_found},
        {{"POST", "/v1/notes/check", {}, ""}, error_kind::not_found},
        {{"DELETE", "/v1/agreements/", {}, ""}, error_kind::not_found},
        {{"DELETE", "/v1/agreements/x", {}, ""}, error_kind::invalid_argument},
        {{"POST", "/v1/agreements", {}, "{"}, error_kind::invalid_argument},
        {{"POST", "/v1/agreements", {}, "[]"}, error_kind::invalid_argument},
        {{"POST", "/v1/agreements", {}, R"({"director": 1})"},
         error_kind::invalid_argument},
        {{"POST", "/v1/drains", {}, R"({"service": "a", "upstream": "b"})"},
         error_kind::invalid_argument}};
    for (const fault_case& each : faults)
    {
        const auto action = parse_action(each.request);
        ASSERT_FALSE(action.has_value()) << each.request.body;
        EXPECT_EQ(action.error().kind, each.kind);
    }
    for (const std::string sequence :
         {"", "0", "-1", "1x", "99999999999999999999"})
    {
        EXPECT_FALSE(parse_identity(
            {{"client-id", "a"}, {"client-sequence", sequence}}));
    }
    EXPECT_FALSE(parse_identity({{"client-sequence", "1"}}));
}

// Guards against an outcome whose status or error the tool cannot read back.
TEST(command_http, failed_outcomes_keep_their_kind)
{
    const std::vector<command_outcome> outcomes{
        note_conflict{{2, "ab", 3}}, note_invalid{{{{1, 2}, "\xff"}}},
        command_failed{{error_kind::unknown_service, "x"}}};
    for (const command_outcome& outcome : outcomes)
    {
        const transport::http_response response = to_http(outcome);
        const error_kind kind = failure_kind_of(outcome);
        EXPECT_EQ(response.status, error_info_for(kind).http_status);
        EXPECT_EQ(parse_error(response).kind, kind);
    }
    EXPECT_EQ(to_http(command_outcome(note_accepted{2, 3, true, "ab"})).status,
              200);
    EXPECT_EQ(parse_error({502, {}, "<html>"}).kind,
              error_kind::malformed_message);
}

// Guards against a status that loses the entry instances without a report.
TEST(control_status, reads_back_equal)
{
    control_status status{instance_id{101},
                          "leader",
                          3,
                          "127.2.0.1:7200",
                          9,
                          8,
                          7,
                          6,
                          {{instance_id{101}, "127.2.0.1:7200"}},
                          {{instance_id{1}, "a", 7, 120},
                           {instance_id{2}, "b", 0, std::nullopt}}};
    EXPECT_EQ(control_status_from_json(to_json(status).dump()), status);
    EXPECT_FALSE(control_status_from_json("{}").has_value());
}

} // namespace boragestand::state
