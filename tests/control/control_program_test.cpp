#include "control_group.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace boragestand::testing
{

namespace
{

transport::http_request note_request(int number, const std::string& service,
                                     int sequence)
{
    const std::string text = "number: " + std::to_string(number) +
                             "\nadded:\n  services:\n    - {name: " + service +
                             ", address: 10.0.0." + std::to_string(number) +
                             ":443, protocol: tcp}\n";
    return {.method = "POST",
            .path = "/v1/notes",
            .headers = {{"client-id", "test"},
                        {"client-sequence", std::to_string(sequence)}},
            .body = text};
}

class control_program_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        for (const std::uint32_t instance : {1U, 2U, 3U})
        {
            ASSERT_TRUE(group_.start(instance));
        }
        ASSERT_TRUE(
            group_.run_until([this] { return group_.all_are_voters(); }));
    }

    control_group group_;
};

} // namespace

// Guards against a follower that accepts a release note instead of naming the
// leader, and against a note that is applied twice or gets a different response
// when the client resends it after the leader failed.
TEST_F(control_program_test, answers_a_resend_after_a_leader_change)
{
    const auto first = group_.leader();
    const auto follower = first % 3 + 1;
    const auto refused = group_.ask(follower, note_request(1, "desk", 1));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 421);
    EXPECT_EQ(refused->headers.at("leader"),
              transport::to_string(group_.address(first)));

    const auto accepted = group_.ask_leader(note_request(1, "desk", 1));
    ASSERT_EQ(accepted.status, 200) << accepted.body;
    group_.kill(first);
    const auto again = group_.ask_leader(note_request(1, "desk", 1));
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(again.body, accepted.body);

    const auto conflict = group_.ask_leader(note_request(1, "other", 2));
    EXPECT_EQ(conflict.status, 409);
    EXPECT_EQ(nlohmann::json::parse(conflict.body)["winner"]["number"], 1);
}

// Guards against the loss of accepted notes when a second disk fails right
// after the first one was replaced.
TEST_F(control_program_test, keeps_notes_when_two_disks_are_lost_in_turn)
{
    ASSERT_EQ(group_.ask_leader(note_request(1, "desk", 1)).status, 200);
    for (const std::uint32_t lost : {2U, 1U})
    {
        group_.kill(lost);
        group_.delete_data(lost);
        ASSERT_TRUE(group_.start(lost));
        ASSERT_TRUE(group_.run_until(
            [&]
            {
                const auto seen = group_.status(lost);
                return seen.is_object() && seen["role"] != "learner" &&
                       seen["revision"] == 1 && group_.all_are_voters();
            }));
    }
    ASSERT_EQ(group_.ask_leader(note_request(2, "maps", 2)).status, 200);
    EXPECT_TRUE(
        group_.run_until([this] { return group_.status(1)["revision"] == 2; }));
}

// Guards against a planned stop that interrupts the service or never completes.
TEST_F(control_program_test, hands_leadership_over_before_it_stops)
{
    const auto first = group_.leader();
    group_.at(first).request_stop();
    const auto refused = group_.ask(first, note_request(1, "desk", 1));
    EXPECT_TRUE(!refused || refused->status == 503);
    ASSERT_TRUE(group_.run_until(
        [&]
        {
            const auto next = group_.leader();
            return next != 0 && next != first;
        }));
    EXPECT_FALSE(group_.at(first).stop_error());
    group_.kill(first);
    EXPECT_EQ(group_.ask_leader(note_request(1, "desk", 1)).status, 200);
}

// Guards against a failed request to the director that is not repeated, and
// against a repeated request for an episode that was acknowledged.
TEST_F(control_program_test, wakes_the_director_once_per_episode)
{
    int calls = 0;
    const auto director = transport::http2_server::listen(
        group_.loop(), {group_.address(9)},
        [&calls](const transport::http_request&,
                 const std::shared_ptr<transport::http_exchange>& exchange)
        {
            ++calls;
            exchange->respond(
                {.status = calls == 1 ? 500 : 200, .headers = {}, .body = {}});
        });
    ASSERT_TRUE(director);
    const transport::http_request request{
        .method = "POST",
        .path = "/v1/director-requests",
        .headers = {},
        .body = R"({"instance":41,"service":"desk","episode":7,)"
                R"("reason":"no slot"})"};
    const auto answer = group_.ask(1, request);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(calls, 2);
    EXPECT_EQ(group_.ask(1, request)->status, 200);
    EXPECT_EQ(calls, 2);
}

// Guards against opening a log that is corrupted on disk.
TEST_F(control_program_test, refuses_a_damaged_data_directory)
{
    ASSERT_EQ(group_.ask_leader(note_request(1, "desk", 1)).status, 200);
    ASSERT_TRUE(
        group_.run_until([this] { return group_.status(3)["revision"] == 1; }));
    group_.kill(3);
    const std::string file = group_.directory(3) + "/log-000000000001.segment";
    std::fstream log(file, std::ios::in | std::ios::out | std::ios::binary);
    log.seekp(30);
    log.put('\x7f');
    log.close();
    const auto outcome = group_.start(3);
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().kind, error_kind::storage_corrupt);
    EXPECT_NE(
        outcome.error().message.find("log-000000000001.segment at offset"),
        std::string::npos);
}

} // namespace boragestand::testing
