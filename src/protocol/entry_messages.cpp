#include "protocol/entry_messages.hpp"

#include "protocol/message_fields.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <concepts>
#include <limits>
#include <utility>

namespace boragestand::protocol
{

namespace
{

// No list type fits max_entry_message_size with more elements.
constexpr std::size_t max_list_size = 256;

// Maximum length of an upstream name in bytes.
constexpr std::size_t max_string_size = 128;

// Nesting of envelope, message, list, element, flow key and endpoint.
constexpr std::size_t max_nesting = 8;

constexpr std::size_t envelope_size = 4;

// Output buffer for msgpack::packer.
class byte_buffer
{
public:
    void write(const char* data, std::size_t size)
    {
        const auto* bytes = reinterpret_cast<const std::byte*>(data);
        bytes_.insert(bytes_.end(), bytes, bytes + size);
    }

    std::vector<std::byte> take_bytes() { return std::move(bytes_); }

private:
    std::vector<std::byte> bytes_;
};

class encoder
{
public:
    void write(std::unsigned_integral auto value) { packer_.pack(value); }

    template <typename Tag, typename Integer>
    void write(const identity<Tag, Integer>& id)
    {
        write(id.value);
    }

    template <typename Enumeration>
    requires std::is_enum_v<Enumeration>
    void write(Enumeration value)
    {
        write(static_cast<std::underlying_type_t<Enumeration>>(value));
    }

    void write(const std::string& text)
    {
        fits_ = fits_ && text.size() <= max_string_size;
        packer_.pack(text);
    }

    template <typename Element>
    void write(const std::vector<Element>& list)
    {
        fits_ = fits_ && list.size() <= max_list_size;
        packer_.pack_array(static_cast<std::uint32_t>(list.size()));
        for (const Element& element : list)
        {
            write(element);
        }
    }

    template <has_fields Value>
    void write(const Value& value)
    {
        std::apply(
            [&](auto... members)
            {
                packer_.pack_array(sizeof...(members));
                (write(value.*members), ...);
            },
            fields_of(std::type_identity<Value>{}));
    }

    void write_envelope(const entry_envelope& envelope)
    {
        packer_.pack_array(envelope_size);
        write(envelope.from);
        write(envelope.incarnation);
        write(static_cast<std::uint32_t>(envelope.message.index()));
        std::visit([this](const auto& message) { write(message); },
                   envelope.message);
    }

    // Whether all lists and strings are within the limits of the decoder.
    bool fits() const { return fits_; }

    std::vector<std::byte> take_bytes() { return buffer_.take_bytes(); }

private:
    byte_buffer buffer_;
    msgpack::packer<byte_buffer> packer_{buffer_};
    bool fits_{true};
};

// Each read() returns false if the object does not have the type or range that
// the encoder writes.
class decoder
{
public:
    static bool read(const msgpack::object& object, bool& value)
    {
        value = object.type == msgpack::type::BOOLEAN && object.via.boolean;
        return object.type == msgpack::type::BOOLEAN;
    }

    template <std::unsigned_integral Integer>
    static bool read(const msgpack::object& object, Integer& value)
    {
        if (object.type != msgpack::type::POSITIVE_INTEGER ||
            object.via.u64 > std::numeric_limits<Integer>::max())
        {
            return false;
        }
        value = static_cast<Integer>(object.via.u64);
        return true;
    }

    template <typename Tag, typename Integer>
    static bool read(const msgpack::object& object, identity<Tag, Integer>& id)
    {
        return read(object, id.value);
    }

    template <typename Enumeration>
    requires std::is_enum_v<Enumeration>
    static bool read(const msgpack::object& object, Enumeration& value)
    {
        std::underlying_type_t<Enumeration> number{};
        if (!read(object, number))
        {
            return false;
        }
        value = static_cast<Enumeration>(number);
        return is_valid(value);
    }

    static bool read(const msgpack::object& object, std::string& text)
    {
        if (object.type != msgpack::type::STR)
        {
            return false;
        }
        text.assign(object.via.str.ptr, object.via.str.size);
        return true;
    }

    template <typename Element>
    static bool read(const msgpack::object& object, std::vector<Element>& list)
    {
        if (object.type != msgpack::type::ARRAY)
        {
            return false;
        }
        list.resize(object.via.array.size);
        for (std::size_t i = 0; i < list.size(); ++i)
        {
            if (!read(object.via.array.ptr[i], list[i]))
            {
                return false;
            }
        }
        return true;
    }

    template <has_fields Value>
    static bool read(const msgpack::object& object, Value& value)
    {
        return std::apply(
            [&](auto... members)
            {
                if (!is_array_of_size(object, sizeof...(members)))
                {
                    return false;
                }
                const msgpack::object* item = object.via.array.ptr;
                return (read(*item++, value.*members) && ...);
            },
            fields_of(std::type_identity<Value>{}));
    }

    static bool read_envelope(const msgpack::object& object,
                              entry_envelope& envelope)
    {
        if (!is_array_of_size(object, envelope_size))
        {
            return false;
        }
        const msgpack::object* items = object.via.array.ptr;
        std::uint32_t kind = 0;
        return read(items[0], envelope.from) &&
               read(items[1], envelope.incarnation) && read(items[2], kind) &&
               read_message(items[3], kind, envelope.message);
    }

private:
    static bool is_array_of_size(const msgpack::object& object,
                                 std::size_t size)
    {
        return object.type == msgpack::type::ARRAY &&
               object.via.array.size == size;
    }

    template <std::size_t Kind = 0>
    static bool read_message(const msgpack::object& object, std::size_t kind,
                             entry_message& message)
    {
        if constexpr (Kind < std::variant_size_v<entry_message>)
        {
            if (kind != Kind)
            {
                return read_message<Kind + 1>(object, kind, message);
            }
            return read(object, message.emplace<Kind>());
        }
        return false;
    }
};

tl::unexpected<error> malformed(const char* what)
{
    return failure(error_kind::malformed_message,
                   std::string("entry message: ") + what);
}

result<entry_envelope> decode(std::span<const std::byte> bytes)
{
    const msgpack::unpack_limit limit(max_list_size, 0, max_string_size, 0, 0,
                                      max_nesting);
    const msgpack::object_handle handle =
        msgpack::unpack(reinterpret_cast<const char*>(bytes.data()),
                        bytes.size(), nullptr, nullptr, limit);
    entry_envelope envelope;
    if (!decoder::read_envelope(handle.get(), envelope))
    {
        return malformed("a field is missing or has the wrong type");
    }
    return envelope;
}

} // namespace

result<std::vector<std::byte>>
encode_entry_message(const entry_envelope& envelope)
{
    encoder output;
    output.write_envelope(envelope);
    std::vector<std::byte> bytes = output.take_bytes();
    if (!output.fits() || bytes.size() > max_entry_message_size)
    {
        return failure(error_kind::resource_exhausted,
                       "entry message: too long for one datagram");
    }
    return bytes;
}

result<entry_envelope> decode_entry_message(std::span<const std::byte> bytes)
{
    if (bytes.size() > max_entry_message_size)
    {
        return malformed("too long");
    }
    try
    {
        auto envelope = decode(bytes);
        if (!envelope)
        {
            return envelope;
        }
        // Each value has one canonical encoding. The comparison rejects
        // trailing bytes and integers that are not in their shortest form.
        const auto canonical = encode_entry_message(*envelope);
        if (!canonical || !std::equal(canonical->begin(), canonical->end(),
                                      bytes.begin(), bytes.end()))
        {
            return malformed("not in canonical encoding");
        }
        return envelope;
    }
    catch (const std::exception&)
    {
        // msgpack throws on bytes that it cannot parse and on exceeded limits.
        return malformed("not msgpack, or a limit is exceeded");
    }
}

} // namespace boragestand::protocol
