#pragma once

#include "base/base.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <exception>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/// Encodes value types with msgpack: a type is an array of its fields, a
/// variant an array of alternative and value, an enumeration its number.
namespace boragestand::state::codec
{

/// Specialised for each encoded type with a static tie(auto& value) that
/// returns std::tie of all fields.
template <typename Type>
struct fields_of;

/// Specialised for each encoded enumeration with its last enumerator.
template <typename Enumeration>
constexpr Enumeration last_enumerator = Enumeration{};

/// Specialised for an enumeration that later versions may extend: what a number
/// above the last enumerator decodes to. Without one, decoding fails.
template <typename Enumeration>
constexpr std::optional<Enumeration> fallback_enumerator = std::nullopt;

/// Specialised for a type that later versions have extended: the number of
/// leading fields that an encoded value must have. Missing ones keep their
/// defaults, so that data of an earlier version can still be read.
template <typename Type>
constexpr std::optional<std::size_t> required_fields = std::nullopt;

/// Nesting depth of the deepest encoded type, plus a margin.
constexpr std::size_t max_depth = 16;

using packer = msgpack::packer<msgpack::sbuffer>;

template <typename Type>
concept has_fields = requires(Type& value)
{
    fields_of<std::remove_cv_t<Type>>::tie(value);
};

/// Writes values of the supported types.
class writer
{
public:
    explicit writer(msgpack::sbuffer& buffer) : packer_(buffer) {}

    template <typename Value>
    requires(std::integral<Value>) void write(const Value& value)
    {
        packer_.pack(value);
    }

    template <typename Value>
    requires(std::is_enum_v<Value>) void write(const Value& value)
    {
        packer_.pack(static_cast<std::uint8_t>(value));
    }

    void write(const std::string& value) { packer_.pack(value); }

    void write(const wall_time& value)
    {
        packer_.pack(value.time_since_epoch().count());
    }

    template <typename Tag, typename Integer>
    void write(const identity<Tag, Integer>& value)
    {
        packer_.pack(value.value);
    }

    template <typename Value>
    void write(const std::vector<Value>& values)
    {
        packer_.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const Value& value : values)
        {
            write(value);
        }
    }

    template <typename Key, typename Value>
    void write(const std::map<Key, Value>& values)
    {
        packer_.pack_map(static_cast<std::uint32_t>(values.size()));
        for (const auto& [key, value] : values)
        {
            write(key);
            write(value);
        }
    }

    template <typename Value>
    void write(const std::optional<Value>& value)
    {
        packer_.pack_array(value ? 1 : 0);
        if (value)
        {
            write(*value);
        }
    }

    template <typename... Values>
    void write(const std::variant<Values...>& value)
    {
        packer_.pack_array(2);
        packer_.pack(static_cast<std::uint8_t>(value.index()));
        std::visit([this](const auto& each) { this->write(each); }, value);
    }

    template <typename Value>
    requires(has_fields<const Value>) void write(const Value& value)
    {
        const auto fields = fields_of<Value>::tie(value);
        packer_.pack_array(std::tuple_size_v<decltype(fields)>);
        std::apply([this](const auto&... each) { (this->write(each), ...); },
                   fields);
    }

private:
    packer packer_;
};

/// Reads one value; false if the object has another type or value range.
template <typename Value>
bool read(const msgpack::object& object, Value& value);

namespace detail
{

template <typename Value>
bool read_integral(const msgpack::object& object, Value& value)
{
    if (object.type == msgpack::type::POSITIVE_INTEGER)
    {
        value = static_cast<Value>(object.via.u64);
        return std::in_range<Value>(object.via.u64);
    }
    if (object.type == msgpack::type::NEGATIVE_INTEGER)
    {
        value = static_cast<Value>(object.via.i64);
        return std::in_range<Value>(object.via.i64);
    }
    return false;
}

inline bool read_value(const msgpack::object& object, bool& value)
{
    value = object.type == msgpack::type::BOOLEAN && object.via.boolean;
    return object.type == msgpack::type::BOOLEAN;
}

template <typename Value>
requires(std::integral<Value> && !std::same_as<Value, bool>) bool read_value(
    const msgpack::object& object, Value& value)
{
    return read_integral(object, value);
}

template <typename Value>
requires(std::is_enum_v<Value>) bool read_value(const msgpack::object& object,
                                                Value& value)
{
    std::uint8_t number = 0;
    if (!read_integral(object, number))
    {
        return false;
    }
    if (number <= static_cast<std::uint8_t>(last_enumerator<Value>))
    {
        value = static_cast<Value>(number);
        return true;
    }
    value = fallback_enumerator<Value>.value_or(value);
    return fallback_enumerator<Value>.has_value();
}

inline bool read_value(const msgpack::object& object, std::string& value)
{
    if (object.type != msgpack::type::STR)
    {
        return false;
    }
    value.assign(object.via.str.ptr, object.via.str.size);
    return true;
}

inline bool read_value(const msgpack::object& object, wall_time& value)
{
    std::int64_t milliseconds = 0;
    if (!read_integral(object, milliseconds))
    {
        return false;
    }
    value = wall_time(std::chrono::milliseconds(milliseconds));
    return true;
}

template <typename Tag, typename Integer>
bool read_value(const msgpack::object& object, identity<Tag, Integer>& value)
{
    return read_integral(object, value.value);
}

inline std::span<const msgpack::object> items_of(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY)
    {
        return {};
    }
    return {object.via.array.ptr, object.via.array.size};
}

template <typename Value>
bool read_value(const msgpack::object& object, std::vector<Value>& values)
{
    if (object.type != msgpack::type::ARRAY)
    {
        return false;
    }
    for (const msgpack::object& item : items_of(object))
    {
        if (!read(item, values.emplace_back()))
        {
            return false;
        }
    }
    return true;
}

template <typename Key, typename Value>
bool read_value(const msgpack::object& object, std::map<Key, Value>& values)
{
    if (object.type != msgpack::type::MAP)
    {
        return false;
    }
    for (const auto& pair : std::span(object.via.map.ptr, object.via.map.size))
    {
        Key key{};
        if (!read(pair.key, key) || !read(pair.val, values[key]))
        {
            return false;
        }
    }
    return values.size() == object.via.map.size;
}

template <typename Value>
bool read_value(const msgpack::object& object, std::optional<Value>& value)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size > 1)
    {
        return false;
    }
    return object.via.array.size == 0 ||
           read(object.via.array.ptr[0], value.emplace());
}

template <std::size_t Index = 0, typename... Values>
bool read_alternative(const msgpack::object& object, std::size_t index,
                      std::variant<Values...>& value)
{
    if constexpr (Index < sizeof...(Values))
    {
        if (index == Index)
        {
            return read(object, value.template emplace<Index>());
        }
        return read_alternative<Index + 1>(object, index, value);
    }
    return false;
}

template <typename... Values>
bool read_value(const msgpack::object& object, std::variant<Values...>& value)
{
    const auto items = items_of(object);
    std::uint8_t index = 0;
    return items.size() == 2 && read_integral(items[0], index) &&
           read_alternative(items[1], index, value);
}

template <typename Value>
requires(has_fields<Value>) bool read_value(const msgpack::object& object,
                                            Value& value)
{
    auto fields = fields_of<Value>::tie(value);
    const auto items = items_of(object);
    constexpr std::size_t all = std::tuple_size_v<decltype(fields)>;
    if (items.size() > all ||
        items.size() < required_fields<Value>.value_or(all))
    {
        return false;
    }
    const auto* next = items.data();
    const auto* const end = next + items.size();
    return std::apply([&next, end](auto&... each)
                      { return ((next == end || read(*next++, each)) && ...); },
                      fields);
}

} // namespace detail

template <typename Value>
bool read(const msgpack::object& object, Value& value)
{
    return detail::read_value(object, value);
}

/// Encodes a value.
template <typename Value>
std::vector<std::byte> encode(const Value& value)
{
    msgpack::sbuffer buffer;
    writer(buffer).write(value);
    const auto bytes = std::as_bytes(std::span(buffer.data(), buffer.size()));
    return {bytes.begin(), bytes.end()};
}

/// Decodes a value that fills the bytes exactly; error_kind::malformed_message
/// with the name of the type otherwise. Never throws.
template <typename Value>
result<Value> decode(std::span<const std::byte> bytes, std::size_t max_size,
                     const char* type_name)
{
    const auto malformed = [type_name]
    {
        return failure(error_kind::malformed_message,
                       std::string(type_name) + " cannot be decoded");
    };
    if (bytes.empty() || bytes.size() > max_size)
    {
        return malformed();
    }
    try
    {
        // Each element takes at least one byte, so this bounds the memory
        // that a wrong length can make the decoder allocate.
        const std::size_t max_elements = bytes.size();
        const msgpack::unpack_limit limit(max_elements, max_elements,
                                          max_elements, 0, 0, max_depth);
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(
            reinterpret_cast<const char*>(bytes.data()), bytes.size(), offset,
            [](msgpack::type::object_type, std::size_t, void*) { return true; },
            nullptr, limit);
        Value value{};
        if (offset != bytes.size() || !read(handle.get(), value))
        {
            return malformed();
        }
        return value;
    }
    catch (const std::exception&)
    {
        return malformed();
    }
}

} // namespace boragestand::state::codec
