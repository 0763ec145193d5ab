#include "coordination/plan_messages.hpp"

#include "state/compression.hpp"
#include "state/msgpack_codec.hpp"

#include <bit>

namespace boragestand::state::codec
{

using namespace coordination;

template <>
struct fields_of<plan_request>
{
    static auto tie(auto& value)
    {
        return std::tie(value.version, value.digest, value.settings_digest,
                        value.after, value.part_digests);
    }
};

template <>
struct fields_of<plan_changes>
{
    static auto tie(auto& value)
    {
        return std::tie(value.routes, value.removed, value.next);
    }
};

template <>
struct fields_of<plan_part>
{
    static auto tie(auto& value) { return std::tie(value.index, value.routes); }
};

template <>
struct fields_of<plan_parts>
{
    static auto tie(auto& value) { return std::tie(value.parts); }
};

template <>
struct fields_of<plan_comparison>
{
    static auto tie(auto& value) { return std::tie(value.part_count); }
};

template <>
struct fields_of<plan_page>
{
    static auto tie(auto& value)
    {
        return std::tie(value.version, value.digest, value.settings,
                        value.content);
    }
};

} // namespace boragestand::state::codec

namespace boragestand::coordination
{

namespace
{

// Digests of 4,096 parts fit.
constexpr std::size_t max_request_size = 64 * 1024;

// A single part may exceed a page, and settings have no size of their own.
constexpr std::size_t max_page_size = 8 * 1024 * 1024;

// Below this size a message has too few repetitions to be worth the time.
constexpr std::size_t min_compressed_size = 1024;

template <typename Message>
std::string encode_text(const Message& message)
{
    const auto bytes = state::codec::encode(message);
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::byte> to_bytes(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

result<plan_page> decode_plain_page(std::string_view bytes)
{
    return state::codec::decode<plan_page>(to_bytes(bytes), max_page_size,
                                           "plan page");
}

} // namespace

std::string encode_message(const plan_request& message)
{
    return encode_text(message);
}

std::string encode_message(const plan_page& message)
{
    auto plain = encode_text(message);
    return plain.size() < min_compressed_size ? plain : state::compress(plain);
}

result<plan_request> decode_plan_request(std::string_view bytes)
{
    auto request = state::codec::decode<plan_request>(
        to_bytes(bytes), max_request_size, "plan request");
    if (request && !request->part_digests.empty() &&
        !std::has_single_bit(request->part_digests.size()))
    {
        return failure(error_kind::malformed_message,
                       "plan request: the number of parts is not a power of "
                       "two");
    }
    return request;
}

result<plan_page> decode_plan_page(std::string_view bytes)
{
    return state::is_compressed(bytes) ? state::decompress(bytes, max_page_size)
                                             .and_then(decode_plain_page)
                                       : decode_plain_page(bytes);
}

} // namespace boragestand::coordination
