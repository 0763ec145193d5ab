#include "byte_mutation.hpp"

#include "protocol/message_fields.hpp"
#include "protocol/protocol.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace boragestand::protocol
{

namespace
{

// Several elements in each list, but few enough that every message fits one
// datagram.
constexpr std::size_t max_elements = 8;

template <std::unsigned_integral Integer>
void generate(Integer& value)
{
    value = *rc::gen::arbitrary<Integer>();
}

template <typename Tag, typename Integer>
void generate(identity<Tag, Integer>& id)
{
    generate(id.value);
}

template <typename Enumeration>
requires std::is_enum_v<Enumeration>
void generate(Enumeration& value)
{
    value = *rc::gen::suchThat(
        rc::gen::map(rc::gen::inRange<unsigned>(0, 20), [](unsigned number)
                     { return static_cast<Enumeration>(number); }),
        [](Enumeration candidate) { return is_valid(candidate); });
}

void generate(std::string& text)
{
    text = (*rc::gen::arbitrary<std::string>()).substr(0, 40);
}

template <has_fields Value>
void generate(Value& value);

template <typename Element>
void generate(std::vector<Element>& list)
{
    list.resize(*rc::gen::inRange<std::size_t>(0, max_elements + 1));
    for (Element& element : list)
    {
        generate(element);
    }
}

template <has_fields Value>
void generate(Value& value)
{
    std::apply([&](auto... members) { (generate(value.*members), ...); },
               fields_of(std::type_identity<Value>{}));
}

template <std::size_t... Kinds>
void generate(entry_message& message, std::index_sequence<Kinds...>)
{
    const auto kind = *rc::gen::inRange<std::size_t>(0, sizeof...(Kinds));
    ((kind == Kinds ? generate(message.emplace<Kinds>()) : void()), ...);
}

entry_envelope generate_envelope()
{
    entry_envelope envelope;
    generate(envelope.from);
    generate(envelope.incarnation);
    generate(envelope.message,
             std::make_index_sequence<std::variant_size_v<entry_message>>{});
    return envelope;
}

std::vector<std::byte> bytes_of(std::initializer_list<int> values)
{
    std::vector<std::byte> bytes;
    for (const int value : values)
    {
        bytes.push_back(static_cast<std::byte>(value));
    }
    return bytes;
}

} // namespace

// Guards against a field that is omitted, swapped or narrowed by the encoder or
// the decoder.
RC_GTEST_PROP(entry_messages, round_trip, ())
{
    const entry_envelope envelope = generate_envelope();
    const auto bytes = encode_entry_message(envelope);
    RC_ASSERT(bytes.has_value());
    RC_ASSERT(bytes->size() <= max_entry_message_size);
    const auto decoded = decode_entry_message(*bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == envelope);
}

// Guards against corrupted input that crashes the decoder, throws, or is
// accepted in a form that the encoder does not write.
RC_GTEST_PROP(entry_messages, damaged_input_is_a_value_or_malformed, ())
{
    const auto bytes =
        mutate_bytes(encode_entry_message(generate_envelope()).value());
    const auto decoded = decode_entry_message(bytes);
    RC_ASSERT(is_value_or_malformed(decoded));
    if (decoded)
    {
        RC_ASSERT(encode_entry_message(*decoded).value() == bytes);
    }
}

// Guards against lengths that are used before they are checked, and against
// values outside the range of an enumeration.
TEST(entry_messages, rejects_input_that_the_encoder_does_not_write)
{
    const std::vector<std::pair<const char*, std::vector<std::byte>>> cases{
        {"nothing", bytes_of({})},
        {"array of 2^32-1 elements", bytes_of({0xdd, 255, 255, 255, 255})},
        {"text of 2^32-1 bytes", bytes_of({0xdb, 255, 255, 255, 255})},
        {"map", bytes_of({0x80})},
        {"unknown kind", bytes_of({0x94, 1, 1, 9, 0x91, 1})},
        {"negative number", bytes_of({0x94, 1, 1, 6, 0x91, 0xff})},
        {"longer integer form", bytes_of({0x94, 1, 1, 6, 0x91, 0xcc, 1})},
        {"trailing byte", bytes_of({0x94, 1, 1, 6, 0x91, 1, 1})},
        {"missing field", bytes_of({0x94, 1, 1, 5, 0x92, 1, 0x90})},
        {"member state 4",
         bytes_of({0x94, 1, 1, 1, 0x94, 1, 1, 1, 0x91, 0x93, 1, 1, 4})},
        {"nesting without end",
         std::vector<std::byte>(max_entry_message_size, std::byte{0x91})},
        {"longer than a datagram",
         std::vector<std::byte>(max_entry_message_size + 1, std::byte{1})},
    };
    for (const auto& [name, bytes] : cases)
    {
        const auto decoded = decode_entry_message(bytes);
        ASSERT_FALSE(decoded) << name;
        EXPECT_EQ(decoded.error().kind, error_kind::malformed_message) << name;
    }
    ASSERT_TRUE(decode_entry_message(bytes_of({0x94, 1, 1, 6, 0x91, 1})));
}

// Guards against encoding messages that the decoder rejects.
TEST(entry_messages, refuses_to_encode_what_does_not_fit)
{
    upstream_record long_name;
    long_name.name.assign(129, 'x');
    const std::vector<entry_message> cases{
        pin_batch{1, std::vector<flow_pin>(257), {}},
        pin_batch{1, {}, std::vector<std::uint64_t>(200, ~0ULL)},
        upstream_batch{{long_name}},
    };
    for (const entry_message& message : cases)
    {
        const auto bytes = encode_entry_message({instance_id{1}, 1, message});
        ASSERT_FALSE(bytes) << message.index();
        EXPECT_EQ(bytes.error().kind, error_kind::resource_exhausted);
    }
}

} // namespace boragestand::protocol
