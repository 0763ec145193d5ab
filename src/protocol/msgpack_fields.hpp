#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>

namespace boragestand::protocol
{

/// Thrown inside decoders of this library and turned into an error at their
/// boundary.
class malformed_field : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Reads the fields of one msgpack array in order and checks their types and
/// sizes. Throws malformed_field.
class field_reader
{
public:
    /// The object must be an array of exactly this many fields.
    field_reader(const msgpack::object& object, std::size_t count);

    /// The next field as it is.
    const msgpack::object& next();

    /// The next field as an unsigned integer that fits the type.
    template <typename Integer>
    Integer number()
    {
        const std::uint64_t value = unsigned_number();
        if (value > std::numeric_limits<Integer>::max())
        {
            throw malformed_field("number out of range");
        }
        return static_cast<Integer>(value);
    }

    /// The next field as a bool.
    bool flag();

    /// The next field as a byte string of at most limit bytes.
    std::string bytes(std::size_t limit);

    /// The next field as a list of at most limit elements.
    const msgpack::object_array& list(std::size_t limit);

private:
    std::uint64_t unsigned_number();

    const msgpack::object_array& fields_;
    std::size_t position_{0};
};

/// Unpacks one object that spans all the bytes. Throws malformed_field.
msgpack::object_handle unpack_whole(std::string_view bytes);

/// Packs a byte string.
template <typename Packer>
void pack_bytes(Packer& packer, std::string_view bytes)
{
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(),
                         static_cast<std::uint32_t>(bytes.size()));
}

} // namespace boragestand::protocol
