#include "protocol/agreement_messages.hpp"

#include "protocol/msgpack_fields.hpp"

#include <algorithm>

namespace boragestand::protocol
{

namespace
{

using packer_type = msgpack::packer<msgpack::sbuffer>;

// Larger than a command, because the encoding of the largest group must fit.
constexpr std::size_t max_entry_data_size = 2 * max_command_size;
constexpr std::size_t max_snapshot_size = 60 * 1024 * 1024;

void pack(packer_type& out, const log_position& value)
{
    out.pack_array(2).pack(value.index).pack(value.term);
}

void pack(packer_type& out, const log_entry& value)
{
    out.pack_array(4).pack(value.index).pack(value.term);
    out.pack(static_cast<std::uint8_t>(value.kind));
    pack_bytes(out, value.data);
}

void pack(packer_type& out, const std::vector<log_entry>& values)
{
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& value : values)
    {
        pack(out, value);
    }
}

void pack(packer_type& out, const replica& value)
{
    out.pack_array(5).pack(value.id.value).pack(value.address.address);
    out.pack(value.address.port).pack(value.voter).pack(value.admission_index);
}

void pack(packer_type& out, const replica_group& value)
{
    out.pack_array(2);
    out.pack_array(static_cast<std::uint32_t>(value.members.size()));
    for (const auto& member : value.members)
    {
        pack(out, member);
    }
    out.pack_array(static_cast<std::uint32_t>(value.retired.size()));
    for (const auto& id : value.retired)
    {
        out.pack(id.value);
    }
}

void pack(packer_type& out, const vote_request& value)
{
    out.pack_array(3).pack(value.pre_vote).pack(value.transfer);
    pack(out, value.last);
}

void pack(packer_type& out, const vote_reply& value)
{
    out.pack_array(2).pack(value.pre_vote).pack(value.granted);
}

void pack(packer_type& out, const append_request& value)
{
    out.pack_array(4);
    pack(out, value.previous);
    out.pack(value.commit).pack(value.round);
    pack(out, value.entries);
}

void pack(packer_type& out, const append_reply& value)
{
    out.pack_array(4).pack(value.accepted).pack(value.match);
    out.pack(value.hint).pack(value.round);
}

void pack(packer_type& out, const snapshot_chunk& value)
{
    out.pack_array(5);
    pack(out, value.last);
    out.pack(value.offset).pack(value.size).pack(value.round);
    pack_bytes(out, value.bytes);
}

void pack(packer_type& out, const snapshot_reply& value)
{
    out.pack_array(3);
    pack(out, value.last);
    out.pack(value.offset).pack(value.round);
}

void pack(packer_type& out, const leadership_transfer&)
{
    out.pack_array(0);
}

log_position read_position(const msgpack::object& object)
{
    field_reader in(object, 2);
    const auto index = in.read_number<std::uint64_t>();
    return {index, in.read_number<std::uint64_t>()};
}

log_entry read_entry(const msgpack::object& object)
{
    field_reader in(object, 4);
    log_entry value;
    value.index = in.read_number<std::uint64_t>();
    value.term = in.read_number<std::uint64_t>();
    const auto kind = in.read_number<std::uint8_t>();
    if (kind > static_cast<std::uint8_t>(entry_kind::membership))
    {
        throw malformed_field("unknown log entry type");
    }
    value.kind = static_cast<entry_kind>(kind);
    value.data = in.read_bytes(max_entry_data_size);
    return value;
}

std::vector<log_entry> read_entries(const msgpack::object_array& list)
{
    std::vector<log_entry> values;
    values.reserve(list.size);
    for (const auto& object : list)
    {
        values.push_back(read_entry(object));
    }
    return values;
}

replica read_replica(const msgpack::object& object)
{
    field_reader in(object, 5);
    replica value;
    value.id.value = in.read_number<std::uint64_t>();
    value.address.address = in.read_number<std::uint32_t>();
    value.address.port = in.read_number<std::uint16_t>();
    value.voter = in.read_bool();
    value.admission_index = in.read_number<std::uint64_t>();
    return value;
}

replica_group read_group(const msgpack::object& object)
{
    field_reader in(object, 2);
    replica_group value;
    for (const auto& member : in.read_array(max_replicas))
    {
        value.members.push_back(read_replica(member));
    }
    for (const auto& id : in.read_array(max_retired_replicas))
    {
        if (id.type != msgpack::type::POSITIVE_INTEGER)
        {
            throw malformed_field("expected a replica identity");
        }
        value.retired.push_back(replica_id{id.via.u64});
    }
    return value;
}

vote_request read_vote_request(const msgpack::object& object)
{
    field_reader in(object, 3);
    vote_request value;
    value.pre_vote = in.read_bool();
    value.transfer = in.read_bool();
    value.last = read_position(in.read_object());
    return value;
}

vote_reply read_vote_reply(const msgpack::object& object)
{
    field_reader in(object, 2);
    const bool pre_vote = in.read_bool();
    return {pre_vote, in.read_bool()};
}

append_request read_append_request(const msgpack::object& object)
{
    field_reader in(object, 4);
    append_request value;
    value.previous = read_position(in.read_object());
    value.commit = in.read_number<std::uint64_t>();
    value.round = in.read_number<std::uint64_t>();
    value.entries = read_entries(in.read_array(max_append_entries));
    std::uint64_t index = value.previous.index;
    for (const auto& entry : value.entries)
    {
        if (entry.index != ++index)
        {
            throw malformed_field("log entries are not consecutive");
        }
    }
    return value;
}

append_reply read_append_reply(const msgpack::object& object)
{
    field_reader in(object, 4);
    append_reply value;
    value.accepted = in.read_bool();
    value.match = in.read_number<std::uint64_t>();
    value.hint = in.read_number<std::uint64_t>();
    value.round = in.read_number<std::uint64_t>();
    return value;
}

snapshot_chunk read_snapshot_chunk(const msgpack::object& object)
{
    field_reader in(object, 5);
    snapshot_chunk value;
    value.last = read_position(in.read_object());
    value.offset = in.read_number<std::uint64_t>();
    value.size = in.read_number<std::uint64_t>();
    value.round = in.read_number<std::uint64_t>();
    value.bytes = in.read_bytes(max_command_size);
    if (value.size > max_snapshot_size || value.offset > value.size ||
        value.bytes.size() > value.size - value.offset)
    {
        throw malformed_field("chunk exceeds its snapshot");
    }
    return value;
}

snapshot_reply read_snapshot_reply(const msgpack::object& object)
{
    field_reader in(object, 3);
    snapshot_reply value;
    value.last = read_position(in.read_object());
    value.offset = in.read_number<std::uint64_t>();
    value.round = in.read_number<std::uint64_t>();
    return value;
}

agreement_message read_message(std::uint8_t kind, const msgpack::object& object)
{
    switch (kind)
    {
    case 0:
        return read_vote_request(object);
    case 1:
        return read_vote_reply(object);
    case 2:
        return read_append_request(object);
    case 3:
        return read_append_reply(object);
    case 4:
        return read_snapshot_chunk(object);
    case 5:
        return read_snapshot_reply(object);
    case 6:
        field_reader(object, 0);
        return leadership_transfer{};
    default:
        throw malformed_field("unknown message type");
    }
}

// Runs a decoder on the unpacked bytes and converts malformed_field to an
// error.
template <typename Decoder>
auto decode_with(std::string_view bytes, std::size_t limit, Decoder decoder)
    -> result<decltype(decoder(std::declval<const msgpack::object&>()))>
{
    if (bytes.size() > limit)
    {
        return failure(error_kind::malformed_message,
                       "message of " + std::to_string(bytes.size()) +
                           " bytes exceeds " + std::to_string(limit));
    }
    try
    {
        const auto handle = unpack_object(bytes);
        return decoder(handle.get());
    }
    catch (const malformed_field& exception)
    {
        return failure(error_kind::malformed_message, exception.what());
    }
}

template <typename Value>
std::string encode(const Value& value)
{
    msgpack::sbuffer buffer;
    packer_type out(buffer);
    pack(out, value);
    return {buffer.data(), buffer.size()};
}

} // namespace

const replica* replica_group::find(replica_id id) const
{
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [id](const replica& member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

bool replica_group::is_voter(replica_id id) const
{
    const replica* member = find(id);
    return member != nullptr && member->voter;
}

bool replica_group::is_retired(replica_id id) const
{
    return std::find(retired.begin(), retired.end(), id) != retired.end();
}

std::size_t replica_group::voter_count() const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const replica& member) { return member.voter; }));
}

std::string encode_agreement_message(const agreement_envelope& envelope)
{
    msgpack::sbuffer buffer;
    packer_type out(buffer);
    out.pack_array(7).pack(envelope.from.value).pack(envelope.to.value);
    out.pack(envelope.reply_to.address).pack(envelope.reply_to.port);
    out.pack(envelope.term);
    out.pack(static_cast<std::uint8_t>(envelope.message.index()));
    std::visit([&out](const auto& message) { pack(out, message); },
               envelope.message);
    return {buffer.data(), buffer.size()};
}

result<agreement_envelope> decode_agreement_message(std::string_view bytes)
{
    return decode_with(bytes, max_agreement_message_size,
                       [](const msgpack::object& object)
                       {
                           field_reader in(object, 7);
                           agreement_envelope envelope;
                           envelope.from.value =
                               in.read_number<std::uint64_t>();
                           envelope.to.value = in.read_number<std::uint64_t>();
                           auto& address = envelope.reply_to;
                           address.address = in.read_number<std::uint32_t>();
                           address.port = in.read_number<std::uint16_t>();
                           envelope.term = in.read_number<std::uint64_t>();
                           const auto kind = in.read_number<std::uint8_t>();
                           envelope.message =
                               read_message(kind, in.read_object());
                           return envelope;
                       });
}

std::string encode_replica_group(const replica_group& group)
{
    return encode(group);
}

result<replica_group> decode_replica_group(std::string_view bytes)
{
    return decode_with(bytes, max_entry_data_size, read_group);
}

std::string encode_log_entries(const std::vector<log_entry>& entries)
{
    return encode(entries);
}

result<std::vector<log_entry>> decode_log_entries(std::string_view bytes)
{
    return decode_with(bytes, max_snapshot_size,
                       [](const msgpack::object& object)
                       {
                           if (object.type != msgpack::type::ARRAY)
                           {
                               throw malformed_field("expected an array");
                           }
                           return read_entries(object.via.array);
                       });
}

std::string encode_agreement_snapshot(const agreement_snapshot& snapshot)
{
    msgpack::sbuffer buffer;
    packer_type out(buffer);
    out.pack_array(3);
    pack(out, snapshot.last);
    pack(out, snapshot.group);
    pack_bytes(out, snapshot.data);
    return {buffer.data(), buffer.size()};
}

result<agreement_snapshot> decode_agreement_snapshot(std::string_view bytes)
{
    return decode_with(bytes, max_snapshot_size,
                       [](const msgpack::object& object)
                       {
                           field_reader in(object, 3);
                           agreement_snapshot snapshot;
                           snapshot.last = read_position(in.read_object());
                           snapshot.group = read_group(in.read_object());
                           snapshot.data = in.read_bytes(max_snapshot_size);
                           return snapshot;
                       });
}

} // namespace boragestand::protocol
