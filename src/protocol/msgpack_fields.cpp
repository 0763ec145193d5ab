#include "protocol/msgpack_fields.hpp"

namespace boragestand::protocol
{

namespace
{

// The most deeply nested message is a variant that holds a list of records.
constexpr std::size_t max_nesting = 8;

const msgpack::object_array& require_array(const msgpack::object& object,
                                           std::size_t count)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != count)
    {
        throw malformed_field("expected an array of " + std::to_string(count) +
                              " fields");
    }
    return object.via.array;
}

} // namespace

field_reader::field_reader(const msgpack::object& object, std::size_t count)
    : fields_(require_array(object, count))
{
}

const msgpack::object& field_reader::read_object()
{
    if (position_ >= fields_.size)
    {
        throw malformed_field("missing field");
    }
    return fields_.ptr[position_++];
}

std::uint64_t field_reader::read_unsigned()
{
    const msgpack::object& field = read_object();
    if (field.type != msgpack::type::POSITIVE_INTEGER)
    {
        throw malformed_field("expected an unsigned integer");
    }
    return field.via.u64;
}

bool field_reader::read_bool()
{
    const msgpack::object& field = read_object();
    if (field.type != msgpack::type::BOOLEAN)
    {
        throw malformed_field("expected a bool");
    }
    return field.via.boolean;
}

std::string field_reader::read_bytes(std::size_t limit)
{
    const msgpack::object& field = read_object();
    if (field.type != msgpack::type::BIN || field.via.bin.size > limit)
    {
        throw malformed_field("expected a byte string of at most " +
                              std::to_string(limit) + " bytes");
    }
    return {field.via.bin.ptr, field.via.bin.size};
}

const msgpack::object_array& field_reader::read_array(std::size_t limit)
{
    const msgpack::object& field = read_object();
    if (field.type != msgpack::type::ARRAY || field.via.array.size > limit)
    {
        throw malformed_field("expected an array of at most " +
                              std::to_string(limit) + " elements");
    }
    return field.via.array;
}

msgpack::object_handle unpack_object(std::string_view bytes)
{
    const auto size = bytes.size();
    const msgpack::unpack_limit limit(size, size, size, size, size,
                                      max_nesting);
    try
    {
        std::size_t offset = 0;
        auto handle = msgpack::unpack(bytes.data(), size, offset, nullptr,
                                      nullptr, limit);
        if (offset != size)
        {
            throw malformed_field("trailing bytes after the object");
        }
        return handle;
    }
    catch (const msgpack::unpack_error& exception)
    {
        throw malformed_field(exception.what());
    }
}

} // namespace boragestand::protocol
