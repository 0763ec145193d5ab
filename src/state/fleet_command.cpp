#include "state/fleet_command.hpp"

#include "state/msgpack_codec.hpp"

namespace boragestand::state
{

namespace
{

// MessagePack never uses this byte and compressed plans begin with another one,
// so no encoded plan begins with it.
constexpr char tagged = '\xc1';
constexpr char order_tag = 'e';
constexpr char state_tag = 's';
constexpr std::size_t tag_size = 2;

/// Encoded form of a fleet_state.
struct stored_state
{
    std::string plan; ///< by encode_plan()
    evacuation_register::entries_map evacuations;
};

bool has_tag(std::string_view bytes, char tag)
{
    return bytes.size() > tag_size && bytes[0] == tagged && bytes[1] == tag;
}

template <typename Value>
std::string encode_tagged(char tag, const Value& value)
{
    const auto bytes = codec::encode(value);
    std::string text{tagged, tag};
    text.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    return text;
}

template <typename Value>
result<Value> decode_tagged(std::string_view bytes, const char* type_name)
{
    const auto value = bytes.substr(tag_size);
    return codec::decode<Value>(
        std::as_bytes(std::span(value.data(), value.size())),
        protocol::max_agreement_message_size, type_name);
}

} // namespace

namespace codec
{

template <>
struct fields_of<evacuation_order>
{
    static auto tie(auto& value)
    {
        return std::tie(value.data_centre, value.active);
    }
};

template <>
struct fields_of<evacuation>
{
    static auto tie(auto& value) { return std::tie(value.active, value.index); }
};

template <>
struct fields_of<stored_state>
{
    static auto tie(auto& value)
    {
        return std::tie(value.plan, value.evacuations);
    }
};

} // namespace codec

std::string encode_command(const fleet_command& command)
{
    if (const auto* order = std::get_if<evacuation_order>(&command))
    {
        return encode_tagged(order_tag, *order);
    }
    return encode_plan(std::get<submitted_plan>(command));
}

std::string encode_fleet_state(const submitted_plan& plan,
                               const evacuation_register& evacuations)
{
    auto encoded = encode_plan(plan);
    if (evacuations.entries().empty())
    {
        return encoded;
    }
    return encode_tagged(
        state_tag, stored_state{std::move(encoded), evacuations.entries()});
}

result<fleet_command> decode_fleet_command(std::string_view bytes)
{
    if (has_tag(bytes, order_tag))
    {
        return decode_tagged<evacuation_order>(bytes, "evacuation")
            .map([](auto order) { return fleet_command(std::move(order)); });
    }
    return decode_submitted_plan(bytes).map(
        [](auto plan) { return fleet_command(std::move(plan)); });
}

result<fleet_state> decode_fleet_state(std::string_view bytes)
{
    if (!has_tag(bytes, state_tag))
    {
        return decode_submitted_plan(bytes).map(
            [](auto plan) {
                return fleet_state{std::move(plan), {}};
            });
    }
    auto stored = decode_tagged<stored_state>(bytes, "fleet state");
    if (!stored)
    {
        return tl::unexpected(stored.error());
    }
    return decode_submitted_plan(stored->plan)
        .map(
            [&stored](auto plan)
            {
                return fleet_state{
                    std::move(plan),
                    evacuation_register(std::move(stored->evacuations))};
            });
}

} // namespace boragestand::state
