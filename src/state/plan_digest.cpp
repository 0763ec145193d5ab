#include "state/plan_digest.hpp"

#include "state/routing_plan_fields.hpp"

#include <algorithm>
#include <bit>

namespace boragestand::state::codec
{

template <>
struct fields_of<plan_settings>
{
    static auto tie(auto& value)
    {
        return std::tie(value.services, value.idle_timeout_ms);
    }
};

} // namespace boragestand::state::codec

namespace boragestand::state
{

namespace
{

constexpr std::size_t routes_per_part = 256;
constexpr std::size_t max_parts = 4096;
constexpr std::size_t max_route_size = 64 * 1024;

template <typename Value>
std::string encode_text(const Value& value)
{
    const auto bytes = codec::encode(value);
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::byte> to_bytes(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

int part_shift(std::size_t count)
{
    constexpr int position_bits = 64;
    return position_bits - std::countr_zero(count);
}

} // namespace

plan_settings settings_of(const routing_plan& plan)
{
    return {plan.services, plan.idle_timeout_ms};
}

std::string encode_route(const service_route& route)
{
    return encode_text(route);
}

std::string encode_settings(const plan_settings& settings)
{
    return encode_text(settings);
}

result<service_route> decode_route(std::string_view bytes)
{
    return codec::decode<service_route>(to_bytes(bytes), max_route_size,
                                        "route");
}

result<plan_settings> decode_settings(std::string_view bytes)
{
    return codec::decode<plan_settings>(to_bytes(bytes),
                                        protocol::max_agreement_message_size,
                                        "settings of a plan");
}

std::uint64_t route_position(const transport::endpoint& address)
{
    return mix_hashes(std::uint64_t{address.address} << 16 | address.port, 0);
}

std::size_t plan_part_count(std::size_t routes)
{
    return std::clamp<std::size_t>(std::bit_ceil(routes / routes_per_part + 1),
                                   1, max_parts);
}

std::size_t part_of(std::uint64_t position, std::size_t count)
{
    return count == 1 ? 0 : position >> part_shift(count);
}

std::uint64_t first_position(std::size_t part, std::size_t count)
{
    return count == 1 ? 0 : std::uint64_t{part} << part_shift(count);
}

std::uint64_t route_digest(std::string_view encoded)
{
    return hash_text(encoded);
}

std::uint64_t plan_digest(std::uint64_t routes, std::uint64_t settings)
{
    return mix_hashes(routes, settings);
}

} // namespace boragestand::state
