#include "coordination/directory_messages.hpp"

#include "state/routing_plan_fields.hpp"

namespace boragestand::state::codec
{

using namespace coordination;

template <>
inline constexpr auto last_enumerator<upstream_condition> =
    upstream_condition::gone;

template <>
struct fields_of<registered_upstream>
{
    static auto tie(auto& value)
    {
        return std::tie(value.id, value.service, value.address,
                        value.data_centre, value.incarnation, value.sequence,
                        value.condition, value.slots, value.warmup_left_ms);
    }
};

template <>
struct fields_of<upstream_refresh>
{
    static auto tie(auto& value)
    {
        return std::tie(value.id, value.incarnation, value.sequence);
    }
};

template <>
struct fields_of<evacuation_notice>
{
    static auto tie(auto& value)
    {
        return std::tie(value.data_centre, value.active, value.index,
                        value.ended_ms);
    }
};

template <>
struct fields_of<warmup_grant>
{
    static auto tie(auto& value)
    {
        return std::tie(value.upstream, value.incarnation,
                        value.requests_per_1000_s, value.burst,
                        value.lifetime_ms);
    }
};

template <>
struct fields_of<directory_request>
{
    static auto tie(auto& value)
    {
        return std::tie(value.from_replica, value.sender, value.epoch,
                        value.cursor, value.plan_version, value.wants_current,
                        value.load);
    }
};

template <>
inline constexpr auto
    required_fields<directory_request> = std::optional<std::size_t>(6);

template <>
struct fields_of<directory_reply>
{
    static auto tie(auto& value)
    {
        return std::tie(value.epoch, value.cursor, value.current,
                        value.plan_version, value.upstreams, value.refreshes,
                        value.plan, value.controls, value.has_more,
                        value.evacuations, value.grants, value.load);
    }
};

template <>
inline constexpr auto
    required_fields<directory_reply> = std::optional<std::size_t>(9);

} // namespace boragestand::state::codec

namespace boragestand::coordination
{

namespace
{

// 25,000 upstreams of 100 bytes each and 10,000 routes fit.
constexpr std::size_t max_reply_size = 8 * 1024 * 1024;
constexpr std::size_t max_request_size = 4 * 1024;

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

} // namespace

std::string encode_message(const directory_request& message)
{
    return encode_text(message);
}

std::string encode_message(const directory_reply& message)
{
    return encode_text(message);
}

result<directory_request> decode_directory_request(std::string_view bytes)
{
    return state::codec::decode<directory_request>(
        to_bytes(bytes), max_request_size, "directory request");
}

result<directory_reply> decode_directory_reply(std::string_view bytes)
{
    return state::codec::decode<directory_reply>(
        to_bytes(bytes), max_reply_size, "directory reply");
}

} // namespace boragestand::coordination
