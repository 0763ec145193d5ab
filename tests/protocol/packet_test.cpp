#include "byte_mutation.hpp"

#include "protocol/protocol.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <tins/tins.h>

#include <set>

namespace boragestand::protocol
{

namespace
{

geneve_header generate_header()
{
    geneve_header header;
    header.work = static_cast<request_class>(*rc::gen::inRange(0, 3));
    header.hops = *rc::gen::arbitrary<std::uint8_t>();
    header.forwarded_by = instance_id{*rc::gen::arbitrary<std::uint32_t>()};
    if (*rc::gen::arbitrary<bool>())
    {
        header.deadline_ms = *rc::gen::arbitrary<std::uint32_t>();
    }
    if (*rc::gen::arbitrary<bool>())
    {
        header.request = *rc::gen::arbitrary<std::uint64_t>();
    }
    return header;
}

std::vector<std::byte> encode(const geneve_header& header)
{
    std::array<std::byte, max_geneve_header_size> buffer;
    const auto bytes = encode_geneve(header, buffer);
    return {bytes.begin(), bytes.end()};
}

std::vector<std::byte> serialize(Tins::PDU& packet)
{
    const auto bytes = packet.serialize();
    const auto* first = reinterpret_cast<const std::byte*>(bytes.data());
    return {first, first + bytes.size()};
}

// Generates a TCP packet as sent by a caller, with the expected parse result.
std::pair<std::vector<std::byte>, inner_packet> generate_tcp_packet()
{
    inner_packet expected;
    // Not 0: libtins replaces address 0 by that of an interface.
    expected.source = {*rc::gen::nonZero<std::uint32_t>(),
                       *rc::gen::arbitrary<std::uint16_t>()};
    expected.destination = {*rc::gen::nonZero<std::uint32_t>(),
                            *rc::gen::arbitrary<std::uint16_t>()};
    expected.flags = {*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                      *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
    expected.sequence = *rc::gen::arbitrary<std::uint32_t>();
    expected.acknowledgement = *rc::gen::arbitrary<std::uint32_t>();
    expected.payload_size = *rc::gen::inRange<std::uint16_t>(0, 600);

    const auto address = [](const transport::endpoint& value)
    {
        return Tins::IPv4Address(transport::format_address(value.address));
    };
    Tins::IP ip(address(expected.destination), address(expected.source));
    Tins::TCP tcp(expected.destination.port, expected.source.port);
    tcp.seq(expected.sequence);
    tcp.ack_seq(expected.acknowledgement);
    tcp.set_flag(Tins::TCP::SYN, expected.flags.syn);
    tcp.set_flag(Tins::TCP::ACK, expected.flags.ack);
    tcp.set_flag(Tins::TCP::FIN, expected.flags.fin);
    tcp.set_flag(Tins::TCP::RST, expected.flags.rst);
    if (*rc::gen::arbitrary<bool>())
    {
        tcp.mss(1400);
    }
    ip /= tcp / Tins::RawPDU(std::string(expected.payload_size, 'x'));
    return {serialize(ip), expected};
}

} // namespace

// Guards against options that are lost or exchanged, and against a header size
// that includes part of the inner packet.
RC_GTEST_PROP(geneve, round_trip, ())
{
    const geneve_header header = generate_header();
    auto bytes = encode(header);
    const std::size_t size = bytes.size();
    bytes.insert(bytes.end(), 30, std::byte{0x45});
    const auto decoded = decode_geneve(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->header == header);
    RC_ASSERT(decoded->size == size);
}

// Guards against reads past the end of corrupted headers.
RC_GTEST_PROP(geneve, damaged_input_is_a_value_or_malformed, ())
{
    const auto bytes = mutate_bytes(encode(generate_header()));
    const auto decoded = decode_geneve(bytes);
    RC_ASSERT(is_value_or_malformed(decoded));
    RC_ASSERT((!decoded || decoded->size <= bytes.size()));
}

// Guards against valid headers from other implementations that are misread, and
// against invalid headers that are accepted.
TEST(geneve, follows_the_rules_for_foreign_headers)
{
    struct header_case
    {
        const char* name;
        std::vector<int> bytes;
        bool accepted;
    };
    const std::vector<header_case> cases{
        {"no options", {0, 0, 8, 0, 0, 0, 0, 0}, true},
        {"a VNI", {0, 0, 8, 0, 1, 2, 3, 0}, true},
        {"cut", {0, 0, 8, 0, 0, 0, 0}, false},
        {"version 1", {0x40, 0, 8, 0, 0, 0, 0, 0}, false},
        {"control packet", {0, 0x80, 8, 0, 0, 0, 0, 0}, false},
        {"payload is Ethernet", {0, 0, 0x65, 0x58, 0, 0, 0, 0}, false},
        {"unknown option", {1, 0, 8, 0, 0, 0, 0, 0, 1, 2, 3, 0}, true},
        {"unknown critical option",
         {1, 0x40, 8, 0, 0, 0, 0, 0, 1, 2, 0x83, 0},
         false},
        {"option longer than the header",
         {1, 0, 8, 0, 0, 0, 0, 0, 1, 2, 3, 1},
         false},
        {"work class 3",
         {2, 0, 8, 0, 0, 0, 0, 0, 0xff, 0x42, 1, 1, 0, 0, 0, 3},
         false},
        {"repeated option",
         {4, 0, 8, 0, 0,    0,    0, 0, 0xff, 0x42, 2, 1,
          0, 0, 0, 1, 0xff, 0x42, 2, 1, 0,    0,    0, 1},
         false},
    };
    for (const header_case& test : cases)
    {
        std::vector<std::byte> bytes;
        for (const int value : test.bytes)
        {
            bytes.push_back(static_cast<std::byte>(value));
        }
        EXPECT_EQ(decode_geneve(bytes).has_value(), test.accepted) << test.name;
    }
}

// Guards against fields that are read at wrong offsets; the packets are built
// with libtins.
RC_GTEST_PROP(inner_packets, reads_tcp_packets, ())
{
    const auto [bytes, expected] = generate_tcp_packet();
    const auto parsed = parse_inner_packet(bytes);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == expected);
}

// Guards against reads past the end of corrupted packets.
RC_GTEST_PROP(inner_packets, damaged_input_is_a_value_or_malformed, ())
{
    const auto bytes = mutate_bytes(generate_tcp_packet().first);
    const auto parsed = parse_inner_packet(bytes);
    RC_ASSERT(is_value_or_malformed(parsed));
    RC_ASSERT((!parsed || parsed->payload_size < bytes.size()));
}

// Guards against a reset that the host of the caller ignores because of a wrong
// checksum, address or acknowledgement number.
RC_GTEST_PROP(inner_packets, reset_answers_the_syn, ())
{
    inner_packet syn = generate_tcp_packet().second;
    syn.flags = {true, false, false, false};
    const auto bytes = build_reset(syn);
    const auto reset = parse_inner_packet(bytes);
    RC_ASSERT(reset.has_value());
    RC_ASSERT(reset->source == syn.destination);
    RC_ASSERT(reset->destination == syn.source);
    RC_ASSERT(reset->flags == (tcp_flags{false, true, false, true}));
    RC_ASSERT(reset->acknowledgement == syn.sequence + 1 + syn.payload_size);
    // libtins recomputes both checksums when it serializes the packet.
    Tins::IP copy(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                  static_cast<std::uint32_t>(bytes.size()));
    RC_ASSERT(serialize(copy) == bytes);
}

// Guards against fragments and other protocols that are parsed as a flow.
TEST(inner_packets, reads_udp_and_rejects_what_has_no_flow)
{
    Tins::IP ip = Tins::IP("10.0.0.1", "10.9.0.7") / Tins::UDP(53, 4000) /
                  Tins::RawPDU("hello");
    const auto good = serialize(ip);
    const auto parsed = parse_inner_packet(good);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->protocol, ip_protocol::udp);
    EXPECT_EQ(parsed->payload_size, 5);
    EXPECT_EQ(parsed->destination, (transport::endpoint{0x0a000001, 53}));

    const auto with = [&](std::size_t offset, int value)
    {
        auto bytes = good;
        bytes[offset] = static_cast<std::byte>(value);
        return bytes;
    };
    const std::vector<std::pair<const char*, std::vector<std::byte>>> cases{
        {"version 6", with(0, 0x65)},
        {"header size 16", with(0, 0x44)},
        {"header size 60", with(0, 0x4f)},
        {"total size too large", with(3, 34)},
        {"total size too small", with(3, 19)},
        {"first fragment", with(6, 0x20)},
        {"last fragment", with(7, 1)},
        {"ICMP", with(9, 1)},
        {"UDP size 7", with(25, 7)},
        {"UDP size too large", with(25, 14)},
    };
    for (const auto& [name, bytes] : cases)
    {
        EXPECT_FALSE(parse_inner_packet(bytes)) << name;
    }
}

// Guards against systematic hash collisions of keys that differ in one field:
// two flows with equal hashes would share a pin.
TEST(flow_key, every_field_changes_the_hash)
{
    std::set<std::uint64_t> hashes;
    constexpr std::uint32_t values = 6;
    for (std::uint32_t i = 0; i < values * values * values * 2; ++i)
    {
        const std::uint32_t small = i % values;
        const std::uint32_t shifted = (i / values % values) << 8;
        flow_key key;
        key.service = service_id{i / values / values % values};
        key.caller = {shifted, static_cast<std::uint16_t>(small)};
        key.destination = {small, static_cast<std::uint16_t>(shifted)};
        key.protocol =
            i < values * values * values ? ip_protocol::tcp : ip_protocol::udp;
        EXPECT_TRUE(hashes.insert(hash_of(key)).second) << i;
        std::swap(key.caller, key.destination);
        const bool symmetric = key.caller == key.destination;
        EXPECT_EQ(hashes.insert(hash_of(key)).second, !symmetric) << i;
    }
}

} // namespace boragestand::protocol
