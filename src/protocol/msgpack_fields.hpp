#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>

namespace boragestand::protocol
{

/// Thrown by the decoders of this library; the public decode functions convert
/// it to an error.
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
    /// Requires the object to be an array of exactly count fields.
    field_reader(const msgpack::object& object, std::size_t count);

    /// Reads the next field without a type check.
    const msgpack::object& read_object();

    /// Reads the next field as an unsigned integer within the range of Integer.
    template <typename Integer>
    Integer read_number()
    {
        const std::uint64_t value = read_unsigned();
        if (value > std::numeric_limits<Integer>::max())
        {
            throw malformed_field("number out of range");
        }
        return static_cast<Integer>(value);
    }

    /// Reads the next field as a bool.
    bool read_bool();

    /// Reads the next field as a byte string of at most limit bytes.
    std::string read_bytes(std::size_t limit);

    /// Reads the next field as an array of at most limit elements.
    const msgpack::object_array& read_array(std::size_t limit);

private:
    std::uint64_t read_unsigned();

    const msgpack::object_array& fields_;
    std::size_t position_{0};
};

/// Unpacks the single object that the bytes encode; trailing bytes are an
/// error. Throws malformed_field.
msgpack::object_handle unpack_object(std::string_view bytes);

/// Packs a byte string.
template <typename Packer>
void pack_bytes(Packer& packer, std::string_view bytes)
{
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(),
                         static_cast<std::uint32_t>(bytes.size()));
}

} // namespace boragestand::protocol
