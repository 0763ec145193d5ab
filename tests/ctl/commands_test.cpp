#include "command_line.hpp"
#include "commands.hpp"
#include "stub_control.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace boragestand::ctl
{

namespace
{

using behaviour = stub_control::behaviour;

const std::string first_note = "number: 1\nadded: {services: [{name: desk, "
                               "address: 10.0.0.1:443, protocol: tcp}]}\n";

/// Runs commands against stub control instances on one main loop.
class commands : public testing::Test
{
protected:
    command_report run(std::vector<std::string> words,
                       std::vector<transport::endpoint> control)
    {
        for (const transport::endpoint& each : control)
        {
            words.push_back("--control");
            words.push_back(transport::to_string(each));
        }
        std::vector<const char*> argv{"boragestandctl"};
        for (const std::string& word : words)
        {
            argv.push_back(word.c_str());
        }
        std::ostringstream out;
        std::ostringstream err;
        const auto parsed = parse_command_line(static_cast<int>(argv.size()),
                                               argv.data(), out, err);
        const auto* call = std::get_if<invocation>(&parsed);
        if (call == nullptr)
        {
            return {std::get<int>(parsed), out.str() + err.str(), {}};
        }
        group_limits limits;
        limits.timeout = call->timeout;
        limits.attempt_timeout = std::chrono::milliseconds(500);
        limits.retry_delay = std::chrono::milliseconds(10);
        control_group group(loop_, timers_, call->control, limits);
        return find_command(call->command)->run(*call, group);
    }

    /// Creates a file that TearDown removes.
    std::string file_with(const std::string& text)
    {
        // Tests run concurrently in separate processes.
        files_.push_back(testing::TempDir() + "boragestandctl_note_" +
                         std::to_string(getpid()) + "_" +
                         std::to_string(files_.size()));
        std::ofstream(files_.back()) << text;
        return files_.back();
    }

    void TearDown() override
    {
        for (const std::string& file : files_)
        {
            std::remove(file.c_str());
        }
    }

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    state::control_state state_;
    std::vector<std::string> files_;
};

} // namespace

// Guards against a submit that fails at a follower instead of following its
// leader header, and one that does not list the instances that have the note.
TEST_F(commands, submit_finds_the_leader_and_names_instances)
{
    stub_control leader(loop_, state_, behaviour::leader, 101);
    stub_control follower(loop_, state_, behaviour::follower, 102);
    follower.leader = leader.address();
    leader.entries = {{instance_id{1}, "tx-waco-1", 1, 40},
                      {instance_id{2}, "tx-waco-2", 0, 40}};
    follower.entries = {{instance_id{1}, "tx-waco-1", 0, 90},
                        {instance_id{2}, "tx-waco-2", 1, 10}};
    const std::string file = file_with(first_note);
    const command_report report =
        run({"submit", file}, {follower.address(), leader.address()});
    EXPECT_EQ(report.exit_status, 0) << report.text;
    EXPECT_EQ(report.text,
              "note 1 accepted as revision 1\n"
              "in effect at 2 of 2 entry instances: tx-waco-1, tx-waco-2\n");

    leader.entries.push_back({instance_id{3}, "tx-bryan-1", 0, std::nullopt});
    leader.entries.push_back({instance_id{4}, "tx-bryan-2", 0, 12340});
    const command_report partial =
        run({"submit", file, "--timeout", "1"}, {leader.address()});
    EXPECT_EQ(partial.exit_status, 1);
    EXPECT_EQ(partial.text,
              "note 1 was accepted before as revision 1\n"
              "in effect at 1 of 4 entry instances: tx-waco-1\n"
              "not reached: tx-waco-2 (revision 0, last report 0.0 s ago)\n"
              "not reached: tx-bryan-1 (never reported)\n"
              "not reached: tx-bryan-2 (revision 0, last report 12.3 s ago)\n");
    EXPECT_EQ(partial.json["not_reached"].size(), 3u);
}

// Guards against a command that runs twice because its first response was lost
// and the client sent it again.
TEST_F(commands, resend_after_a_lost_answer_runs_once)
{
    state_.apply({{"setup", 1}, wall_time{}, state::submit_note{first_note}});
    stub_control unresponsive(loop_, state_, behaviour::drops_answers, 101);
    stub_control minority(loop_, state_, behaviour::no_quorum, 102);
    stub_control leader(loop_, state_, behaviour::leader, 103);
    const command_report report =
        run({"agree", "--director", "Ann", "--service", "desk", "--limit", "5",
             "--expires", "60", "--timeout", "60"},
            {unresponsive.address(), minority.address(), leader.address()});
    EXPECT_EQ(report.exit_status, 0) << report.text;
    EXPECT_EQ(report.text, "agreement recorded with id 2, revision 2\n");
    EXPECT_GE(unresponsive.commands, 1);
    EXPECT_GE(leader.commands, 1);
    EXPECT_EQ(state_.current()->agreements.size(), 1u);
}

// Guards against error kinds that share an exit status, and against reports
// without the winning note or the faults.
TEST_F(commands, failures_have_the_status_of_their_kind)
{
    state_.apply({{"setup", 1}, wall_time{}, state::submit_note{first_note}});
    stub_control leader(loop_, state_, behaviour::leader, 101);
    stub_control minority(loop_, state_, behaviour::no_quorum, 102);
    const auto unused = *transport::parse_endpoint("127.0.0.1:1");
    const std::string other = file_with("number: 1\nadded: {services: [{name: "
                                        "maps, address: 10.0.0.2:443, "
                                        "protocol: tcp}]}\n");
    const std::string faulty = file_with("number: 2\nadded: {servces: []}\n");

    const auto conflict = run({"submit", other}, {leader.address()});
    EXPECT_EQ(conflict.exit_status, 8);
    EXPECT_NE(conflict.text.find("winner: note 1, digest " +
                                 state_.find_note(1)->digest),
              std::string::npos)
        << conflict.text;
    for (const std::string command : {"submit", "check", "diff"})
    {
        const auto report = run({command, faulty}, {leader.address()});
        EXPECT_EQ(report.exit_status, 4) << command;
        EXPECT_NE(report.text.find(faulty + ":2:9: added.servces: unknown key"),
                  std::string::npos)
            << command << ": " << report.text;
    }
    EXPECT_EQ(run({"submit", "/nonexistent"}, {leader.address()}).exit_status,
              7);
    EXPECT_EQ(run({"show", "9"}, {leader.address()}).exit_status, 7);
    EXPECT_EQ(run({"drain", "none", "d-01"}, {leader.address()}).exit_status,
              6);
    EXPECT_EQ(run({"status"}, {minority.address()}).exit_status, 10);
    EXPECT_EQ(run({"status"}, {unused}).exit_status, 11);
    EXPECT_EQ(
        run({"undrain", "desk", "d-01", "--timeout", "1"}, {minority.address()})
            .exit_status,
        10);
    const auto lost = run({"submit", other, "--timeout", "1", "--client-id",
                           "me", "--client-sequence", "7"},
                          {unused});
    EXPECT_EQ(lost.exit_status, 11);
    EXPECT_NE(lost.text.find("--client-id me --client-sequence 7"),
              std::string::npos);
}

// Guards against output of show, diff, check and status that differs from the
// configuration in effect.
TEST_F(commands, show_what_is_in_effect)
{
    state_.apply({{"setup", 1}, wall_time{}, state::submit_note{first_note}});
    stub_control leader(loop_, state_, behaviour::leader, 101);
    const auto control = std::vector{leader.address()};
    const std::string file =
        file_with("number: 2\nchanged: {services: [{name: desk, "
                  "hold_limit_ms: 3000}]}\n");
    EXPECT_EQ(run({"diff", file}, control).text,
              "against revision 1:\n"
              "~ service desk: hold_limit_ms 5000 -> 3000\n");
    EXPECT_EQ(run({"check", file}, control).text, file + ": no faults\n");
    EXPECT_NE(run({"show", "1"}, control).text.find(first_note),
              std::string::npos);
    EXPECT_EQ(run({"drain", "desk", "d-01"}, control).text,
              "upstream d-01 of desk drains, revision 2\n");
    EXPECT_NE(
        run({"show"}, control).text.find("upstream desk d-01: drain true"),
        std::string::npos);
    EXPECT_EQ(run({"status"}, control).exit_status, 0);
}

// Guards against malformed command lines that are accepted, for example a
// timeout of nan.
TEST_F(commands, wrong_command_lines_exit_with_2)
{
    const auto any = std::vector{*transport::parse_endpoint("127.0.0.1:1")};
    const std::vector<std::vector<std::string>> wrong{
        {"frobnicate"},
        {"submit"},
        {"submit", "a", "b"},
        {"submit", "a", "--frobnicate"},
        {"submit", "a", "--timeout", "0"},
        {"submit", "a", "--timeout", "nan"},
        {"submit", "a", "--client-sequence", "x"},
        {"status", "--control", "localhost:1"},
        {"show", "one"},
        {"show", ""},
        {"drain", "desk"},
        {"drain", "desk", "d-01", "--instance", "127.0.0.1:1"},
        {"drain", "--instance", "tx-waco-1"},
        {"agree", "--director", "Ann"},
        {"member", "rename"},
        {"member", "replace", "--id", "4", "--http", "127.0.0.1:1"}};
    for (const auto& words : wrong)
    {
        EXPECT_EQ(run(words, any).exit_status, 2) << words[0];
    }
    EXPECT_EQ(run({"status"}, {}).exit_status, 2);
    const std::string file = file_with("control: [127.0.0.1]\n");
    EXPECT_EQ(run({"status", "--control-file", file}, {}).exit_status, 3);
    for (const command_entry& each : all_commands())
    {
        const auto help = run({std::string(each.name), "--help"}, {});
        EXPECT_EQ(help.exit_status, 0);
        EXPECT_NE(help.text.find(each.summary), std::string::npos);
    }
}

} // namespace boragestand::ctl
