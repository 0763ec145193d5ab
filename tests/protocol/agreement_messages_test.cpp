#include "byte_mutation.hpp"
#include "protocol/agreement_messages.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace boragestand::protocol
{

namespace
{

std::vector<agreement_envelope> example_envelopes()
{
    const std::vector<log_entry> entries{
        {8, 3, entry_kind::command, std::string("a\0b", 3)},
        {9, 3, entry_kind::membership, "group"}};
    const std::vector<agreement_message> messages{
        vote_request{true, false, {7, 2}},
        vote_reply{false, true},
        append_request{{7, 2}, 6, 41, entries},
        append_reply{true, 9, 0, 41},
        snapshot_chunk{{7, 2}, 5, 100, 41, "bytes"},
        snapshot_reply{{7, 2}, 10, 41},
        leadership_transfer{}};
    std::vector<agreement_envelope> list;
    for (const auto& message : messages)
    {
        list.push_back({replica_id{1}, replica_id{2}, {3, 4}, 5, message});
    }
    return list;
}

// A message at a limit and one just above it.
struct limit_case
{
    const char* name;
    agreement_message within;
    agreement_message above;
};

append_request append_request_of(std::size_t count)
{
    append_request request;
    for (std::uint64_t index = 1; index <= count; ++index)
    {
        request.entries.push_back({index, 1, entry_kind::command, {}});
    }
    return request;
}

bool decodes(const agreement_message& message)
{
    return decode_agreement_message(
               encode_agreement_message({{}, {}, {}, 0, message}))
        .has_value();
}

} // namespace

// Guards against a field that the decoder omits or exchanges with another.
TEST(agreement_messages, round_trip)
{
    for (const auto& envelope : example_envelopes())
    {
        const auto decoded =
            decode_agreement_message(encode_agreement_message(envelope));
        ASSERT_TRUE(decoded) << decoded.error().message;
        EXPECT_EQ(*decoded, envelope);
    }
}

// Guards against messages from a peer that exceed the memory limits or contain
// inconsistent log positions.
TEST(agreement_messages, are_bounded)
{
    auto gap = append_request_of(3);
    gap.entries[1].index = 7;
    const std::vector<limit_case> cases{
        {"entries", append_request_of(max_append_entries),
         append_request_of(max_append_entries + 1)},
        {"chunk bytes",
         snapshot_chunk{
             {}, 0, max_command_size, 0, std::string(max_command_size, 'x')},
         snapshot_chunk{{},
                        0,
                        max_command_size + 1,
                        0,
                        std::string(max_command_size + 1, 'x')}},
        {"chunk in its snapshot", snapshot_chunk{{}, 6, 10, 0, "four"},
         snapshot_chunk{{}, 7, 10, 0, "four"}},
        {"consecutive entries", append_request_of(3), gap},
    };
    for (const auto& limit : cases)
    {
        SCOPED_TRACE(limit.name);
        EXPECT_TRUE(decodes(limit.within));
        EXPECT_FALSE(decodes(limit.above));
    }
}

// Guards against corrupted input that crashes a decoder.
RC_GTEST_PROP(agreement_messages, damaged_input_is_a_value_or_malformed, ())
{
    const auto list = example_envelopes();
    const auto& envelope = list[*rc::gen::inRange<std::size_t>(0, list.size())];
    const auto text = encode_agreement_message(envelope);
    const auto view = std::as_bytes(std::span(text.data(), text.size()));
    const auto bytes = mutate_bytes({view.begin(), view.end()});
    const std::string_view input(reinterpret_cast<const char*>(bytes.data()),
                                 bytes.size());
    RC_ASSERT(is_value_or_malformed(decode_agreement_message(input)));
    RC_ASSERT(is_value_or_malformed(decode_replica_group(input)));
    RC_ASSERT(is_value_or_malformed(decode_log_entries(input)));
    RC_ASSERT(is_value_or_malformed(decode_agreement_snapshot(input)));
}

} // namespace boragestand::protocol
