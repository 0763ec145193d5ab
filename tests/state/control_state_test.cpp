#include "state/state.hpp"

#include <gtest/gtest.h>

#include "state_builders.hpp"

#include <string>

namespace boragestand::state
{

namespace
{

std::string desk_note(std::uint64_t number, std::uint32_t hold_limit_ms)
{
    return "number: " + std::to_string(number) +
           "\nchanged:\n  services:\n    - {name: desk, hold_limit_ms: " +
           std::to_string(hold_limit_ms) + "}\n";
}

/// A state in which the first note is accepted.
control_state make_prepared_state(const control_limits& limits = {})
{
    control_state state(limits);
    expect_outcome<note_accepted>(
        state.apply(make_command("setup", 1, submit_note{first_note})));
    return state;
}

} // namespace

// Guards against two different notes with one number that are both accepted.
TEST(control_state, first_note_with_a_number_wins)
{
    control_state state = make_prepared_state();
    const auto won = expect_outcome<note_accepted>(
        state.apply(make_command("a", 5, submit_note{desk_note(2, 100)})));
    EXPECT_FALSE(won.already_accepted);
    EXPECT_EQ(won.revision, 2u);
    const auto lost = expect_outcome<note_conflict>(
        state.apply(make_command("b", 5, submit_note{desk_note(2, 200)})));
    EXPECT_EQ(lost.winner, (note_winner{2, won.digest, 2}));
    const auto again = expect_outcome<note_accepted>(state.apply(
        make_command("c", 5, submit_note{"# the same\n" + desk_note(2, 100)})));
    EXPECT_TRUE(again.already_accepted);
    EXPECT_EQ(again.revision, 2u);
    EXPECT_EQ(state.current()->revision, 2u);
    EXPECT_EQ(state.current()->find_service("desk")->hold_limit_ms, 100u);
    EXPECT_EQ(state.find_note(2)->text, desk_note(2, 100));
}

// Guards against a resend after a leader change that runs the command twice.
TEST(control_state, resend_gives_the_first_outcome)
{
    control_state state = make_prepared_state();
    const command agree =
        make_command("a", 7, record_agreement{"Ann", "desk", "", 5, 60});
    const auto first = state.apply(agree);
    expect_outcome<agreement_recorded>(first);
    EXPECT_EQ(state.apply(agree), first);
    command later = agree;
    later.proposed += std::chrono::seconds(3);
    EXPECT_EQ(state.apply(later), first)
        << "the proposal time is not part of the request";
    EXPECT_EQ(state.find_outcome({"a", 7}), first);
    EXPECT_EQ(state.current()->agreements.size(), 1u);

    const auto reused =
        state.apply(make_command("a", 7, set_drain{"desk", "d1", true}));
    EXPECT_EQ(failure_kind_of(reused), error_kind::invalid_argument);
    state.apply(make_command("a", 8, set_drain{"desk", "d1", true}));
    EXPECT_EQ(failure_kind_of(state.apply(agree)), error_kind::timeout);
    EXPECT_EQ(state.current()->agreements.size(), 1u);
}

// Guards against a command that runs twice because its record was dropped.
TEST(control_state, resend_after_its_record_was_dropped_never_runs)
{
    control_limits limits;
    limits.clients = 4;
    control_state state = make_prepared_state(limits);
    const command agree =
        make_command("old", 100, record_agreement{"Ann", "desk", "", 5, 60});
    expect_outcome<agreement_recorded>(state.apply(agree));
    for (std::uint64_t client = 1; client <= 5; ++client)
    {
        state.apply(make_command("c" + std::to_string(client), 100 + client,
                                 set_drain{"desk", "d1", client % 2 == 1}));
    }
    EXPECT_EQ(state.find_outcome({"old", 100}), std::nullopt);
    EXPECT_EQ(failure_kind_of(state.apply(agree)), error_kind::timeout);
    EXPECT_EQ(state.current()->agreements.size(), 1u);
    expect_outcome<drain_set>(
        state.apply(make_command("new", 200, set_drain{"desk", "d2", true})));
}

// Guards against a second note that takes the number of a dropped one.
TEST(control_state, number_of_a_dropped_note_is_not_free)
{
    control_limits limits;
    limits.notes = 2;
    control_state state = make_prepared_state(limits);
    for (std::uint64_t number = 2; number <= 4; ++number)
    {
        expect_outcome<note_accepted>(state.apply(
            make_command("a", number, submit_note{desk_note(number, 100)})));
    }
    EXPECT_EQ(state.find_note(1), nullptr);
    EXPECT_EQ(failure_kind_of(state.apply(
                  make_command("a", 9, submit_note{desk_note(2, 300)}))),
              error_kind::conflict);
}

// Guards against refusals that no director agreed to: an agreement for a
// missing or harmless rule, one that is kept when its rule changes, and one
// that has expired.
TEST(control_state, agreements_cover_only_what_was_agreed)
{
    struct fault_case
    {
        record_agreement agreement;
        error_kind kind;
    };
    const std::vector<fault_case> faults{
        {{"Ann", "nowhere", "", 5, 60}, error_kind::unknown_service},
        {{"Ann", "desk", "none", 5, 60}, error_kind::not_found},
        {{"Ann", "maps", "far", 5, 60}, error_kind::not_found},
        {{"Ann", "desk", "half", 5, 60}, error_kind::invalid_argument},
        {{"", "desk", "far", 5, 60}, error_kind::invalid_argument},
        {{"Ann", "desk", "far", 0, 60}, error_kind::invalid_argument},
        {{"Ann", "desk", "far", 5, 0}, error_kind::invalid_argument},
        {{"Ann", "desk", "far", 5, 604801}, error_kind::invalid_argument}};
    control_state state = make_prepared_state();
    std::uint64_t sequence = 10;
    for (const fault_case& each : faults)
    {
        EXPECT_EQ(failure_kind_of(state.apply(
                      make_command("a", ++sequence, each.agreement))),
                  each.kind);
    }
    const record_agreement good{"Ann", "desk", "far", 5, 60};
    const auto recorded = expect_outcome<agreement_recorded>(
        state.apply(make_command("a", ++sequence, good)));
    EXPECT_EQ(state.current()->agreements[0].expires,
              test_time + std::chrono::seconds(60));
    state.apply(
        make_command("a", ++sequence,
                     submit_note{"number: 2\nchanged:\n  rules:\n"
                                 "    - {name: far, source: 10.0.0.0/8}\n"}));
    EXPECT_TRUE(state.current()->agreements.empty());
    EXPECT_EQ(failure_kind_of(state.apply(make_command(
                  "a", ++sequence, withdraw_agreement{recorded.id}))),
              error_kind::not_found);

    state.apply(make_command("a", ++sequence, good));
    state.apply(make_command("a", ++sequence, set_drain{"desk", "d1", true},
                             test_time + std::chrono::seconds(60)));
    EXPECT_TRUE(state.current()->agreements.empty());
}

// Guards against a drain that raises the revision without a change, and an
// undrain that leaves an override behind.
TEST(control_state, undrain_removes_the_override)
{
    control_state state = make_prepared_state();
    const auto drain = [&state](std::uint64_t sequence, bool on)
    {
        return expect_outcome<drain_set>(
                   state.apply(make_command("a", sequence,
                                            set_drain{"desk", "d1", on})))
            .revision;
    };
    EXPECT_EQ(drain(1, true), 2u);
    EXPECT_EQ(drain(2, true), 2u);
    EXPECT_EQ(drain(3, false), 3u);
    EXPECT_TRUE(state.current()->overrides.empty());
    EXPECT_EQ(failure_kind_of(state.apply(
                  make_command("a", 4, set_drain{"none", "d1", true}))),
              error_kind::unknown_service);
    EXPECT_EQ(failure_kind_of(state.apply(
                  make_command("a", 5, set_drain{"desk", "d 1", true}))),
              error_kind::invalid_argument);
}

} // namespace boragestand::state
