#include "state/state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "state_builders.hpp"

#include <string>

namespace boragestand::state
{

namespace
{

/// A random command, which the state accepts often but not always.
command_action make_random_action(random_generator& random,
                                  std::uint64_t number)
{
    const std::string name = "s" + std::to_string(random.below(4));
    const std::string rule = "r" + std::to_string(random.below(4));
    const std::string head = "number: " + std::to_string(number) + "\n";
    const std::string port = std::to_string(1 + random.below(1000));
    switch (random.below(9))
    {
    case 0:
        return submit_note{head + "added: {services: [{name: " + name +
                           ", address: 10.0.0.1:" + port +
                           ", protocol: udp}]}"};
    case 1:
        return submit_note{head + "withdrawn: {services: [" + name + "]}"};
    case 2:
        return submit_note{head + "added: {rules: [{name: " + rule +
                           ", service: " + name + ", action: refuse}]}"};
    case 3:
        return submit_note{head + "withdrawn: {rules: [" + rule + "]}"};
    case 4:
        return submit_note{head + "changed: {rules: [{name: " + rule +
                           ", work: long}], services: [{name: " + name +
                           ", idempotent: true}]}"};
    case 5:
        return submit_note{head + "changed: {upstreams: [{service: " + name +
                           ", name: u1, weight: " + port + "}]}"};
    case 6:
        return record_agreement{"Ann", name, "", 5, 60};
    case 7:
        return withdraw_agreement{random.below(number + 1)};
    default:
        return set_drain{name, "u" + port, random.below(2) == 0};
    }
}

/// A state after random commands, with the commands and the configurations
/// they led to.
struct history
{
    control_state state;
    std::vector<std::shared_ptr<const configuration>> configurations;
    std::vector<command> commands;
};

history make_random_history(std::uint64_t seed, std::size_t steps,
                            const control_limits& limits = {})
{
    random_generator random(seed);
    history made{control_state(limits), {}, {}};
    made.configurations.push_back(made.state.current());
    for (std::size_t step = 1; step <= steps; ++step)
    {
        const std::string client = "c" + std::to_string(random.below(9));
        made.commands.push_back(make_command(
            client, step, make_random_action(random, 1 + random.below(steps)),
            test_time + std::chrono::seconds(step)));
        made.state.apply(made.commands.back());
        if (made.configurations.back() != made.state.current())
        {
            made.configurations.push_back(made.state.current());
        }
    }
    return made;
}

} // namespace

// Guards against a delta that leaves a receiver with another configuration
// than a snapshot would, from any revision and through the codec.
RC_GTEST_PROP(configuration_update, delta_chain_equals_snapshot,
              (std::uint64_t seed))
{
    const history made = make_random_history(seed, 60);
    for (const auto& start : made.configurations)
    {
        auto receiver = start;
        for (const auto& update : made.state.updates_after(start->revision))
        {
            const auto decoded = decode_configuration_update(
                encode_configuration_update(update));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(*decoded == update);
            const auto next = apply_update(*decoded, receiver);
            RC_ASSERT(next.has_value());
            receiver = *next;
        }
        RC_ASSERT(*receiver == *made.state.current());
    }
}

// Guards against replicas that differ after one of them was restored, and
// against a snapshot that loses the outcomes of requests.
RC_GTEST_PROP(control_state, restored_replica_stays_equal, (std::uint64_t seed))
{
    control_limits limits;
    limits.clients = 5;
    limits.deltas = 7;
    limits.notes = 6;
    limits.note_texts = 3;
    history made = make_random_history(seed, 40, limits);
    auto restored =
        control_state::decode_snapshot(made.state.encode_snapshot(), limits);
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored->encode_snapshot() == made.state.encode_snapshot());
    random_generator random(seed + 1);
    for (std::uint64_t step = 41; step < 80; ++step)
    {
        const bool resend = random.below(3) == 0;
        const command next =
            resend ? made.commands[random.below(made.commands.size())]
                   : make_command("c" + std::to_string(random.below(9)), step,
                                  make_random_action(random, step));
        RC_ASSERT(made.state.apply(next) == restored->apply(next));
    }
    RC_ASSERT(restored->encode_snapshot() == made.state.encode_snapshot());
}

// Guards against a service identity that is assigned twice, which would send
// flows of one service to the upstreams of another.
RC_GTEST_PROP(control_state, service_identities_are_never_reused,
              (std::uint64_t seed))
{
    const history made = make_random_history(seed, 60);
    std::map<service_id, transport::endpoint> owners;
    for (const auto& each : made.configurations)
    {
        for (const service& service : each->services)
        {
            const auto [owner, added] =
                owners.try_emplace(service.id, service.address);
            RC_ASSERT(owner->second == service.address);
            RC_ASSERT(service.id.value <= each->last_service);
        }
    }
}

// Guards against a revision that decreases, and a delta applied at the wrong
// revision.
TEST(configuration_update, never_lowers_a_revision_or_skips_one)
{
    control_state state;
    state.apply(make_command("a", 1, submit_note{first_note}));
    const auto at_one = state.current();
    state.apply(make_command("a", 2, set_drain{"desk", "d1", true}));
    const auto at_two = state.current();
    const auto delta_to_two = state.updates_after(1).at(0);
    EXPECT_EQ(*apply_update(*at_one, at_two), at_two);
    EXPECT_EQ(*apply_update(delta_to_two, at_two), at_two);
    const auto skipped =
        apply_update(delta_to_two, std::make_shared<const configuration>());
    ASSERT_FALSE(skipped.has_value());
    EXPECT_EQ(skipped.error().kind, error_kind::stale_revision);
    EXPECT_TRUE(state.updates_after(2).empty());
    EXPECT_TRUE(state.updates_after(9).empty());
}

// Guards against a peer or a damaged file that crashes the process: the
// decoders refuse random bytes, and valid bytes that were changed or cut.
RC_GTEST_PROP(decoders, refuse_damaged_bytes, (std::uint64_t seed))
{
    random_generator random(seed);
    const history made = make_random_history(seed, 20);
    std::vector<std::byte> bytes = made.state.encode_snapshot();
    if (random.below(2) == 0)
    {
        bytes = encode_configuration_update(*made.state.current());
    }
    if (random.below(3) == 0)
    {
        bytes = *encode_command(made.commands.front());
    }
    for (std::uint64_t change = 0; change < 1 + random.below(8); ++change)
    {
        bytes[random.below(bytes.size())] =
            static_cast<std::byte>(random.next());
    }
    if (random.below(2) == 0)
    {
        bytes.resize(random.below(bytes.size()));
    }
    (void)decode_command(bytes);
    (void)decode_configuration_update(bytes);
    const auto state = control_state::decode_snapshot(bytes);
    if (state)
    {
        (void)state->updates_after(0);
    }
    const std::string text(reinterpret_cast<const char*>(bytes.data()),
                           bytes.size());
    (void)configuration_from_json(text);
    (void)made.state.check_note(text);
}

// Guards against JSON that loses a part of the configuration.
RC_GTEST_PROP(configuration_json, reads_back_equal, (std::uint64_t seed))
{
    const history made = make_random_history(seed, 40);
    const configuration& value = *made.state.current();
    const auto read = configuration_from_json(to_json(value).dump());
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == value);
    RC_ASSERT(diff(value, *read).empty());
}

} // namespace boragestand::state
