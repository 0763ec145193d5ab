#include "protocol/geneve.hpp"

#include "protocol/byte_order.hpp"

namespace boragestand::protocol
{

namespace
{

constexpr std::size_t fixed_header_size = 8;
constexpr std::size_t option_header_size = 4;
constexpr std::uint16_t ethertype_ipv4 = 0x0800;

constexpr std::uint8_t version_mask = 0xc0;
constexpr std::uint8_t options_length_mask = 0x3f;
constexpr std::uint8_t control_flag = 0x80;
constexpr std::uint8_t critical_option_flag = 0x80;
constexpr std::uint8_t option_length_mask = 0x1f;

// In the range that RFC 8926 reserves for experimental use.
constexpr std::uint16_t option_class = 0xff42;

enum class option_type : std::uint8_t
{
    work = 1,
    hops = 2,
    forwarded_by = 3,
    deadline = 4,
    request = 5
};

tl::unexpected<error> malformed(const char* what)
{
    return failure(error_kind::malformed_message,
                   std::string("Geneve header: ") + what);
}

std::uint8_t byte_at(std::span<const std::byte> bytes, std::size_t offset)
{
    return std::to_integer<std::uint8_t>(bytes[offset]);
}

// Decodes one option into its field; false if its size or value is invalid.
bool read_option(option_type type, std::span<const std::byte> data,
                 geneve_header& header)
{
    const std::size_t expected_size = type == option_type::request ? 8 : 4;
    if (data.size() != expected_size)
    {
        return false;
    }
    if (type == option_type::request)
    {
        header.request = read_big_endian<std::uint64_t>(data, 0);
        return true;
    }
    const auto value = read_big_endian<std::uint32_t>(data, 0);
    switch (type)
    {
    case option_type::work:
        header.work = static_cast<request_class>(value);
        return value <= static_cast<std::uint32_t>(request_class::long_work);
    case option_type::hops:
        header.hops = static_cast<std::uint8_t>(value);
        return value <= 0xff;
    case option_type::forwarded_by:
        header.forwarded_by = instance_id{value};
        return true;
    case option_type::deadline:
        header.deadline_ms = value;
        return true;
    case option_type::request:
        break;
    }
    return false;
}

bool is_known_option(std::uint8_t type)
{
    return type >= static_cast<std::uint8_t>(option_type::work) &&
           type <= static_cast<std::uint8_t>(option_type::request);
}

result<geneve_header> read_options(std::span<const std::byte> options)
{
    geneve_header header;
    unsigned seen = 0;
    while (!options.empty())
    {
        if (options.size() < option_header_size)
        {
            return malformed("an option is truncated");
        }
        const auto received_class = read_big_endian<std::uint16_t>(options, 0);
        const std::uint8_t type = byte_at(options, 2);
        const std::size_t size =
            std::size_t{4} * (byte_at(options, 3) & option_length_mask);
        if (options.size() < option_header_size + size)
        {
            return malformed("an option is longer than the header");
        }
        const auto data = options.subspan(option_header_size, size);
        options = options.subspan(option_header_size + size);
        if (received_class != option_class || !is_known_option(type))
        {
            if (type & critical_option_flag)
            {
                return malformed("unknown critical option");
            }
            continue;
        }
        const unsigned bit = 1U << type;
        if ((seen & bit) ||
            !read_option(static_cast<option_type>(type), data, header))
        {
            return malformed("an option is repeated or invalid");
        }
        seen |= bit;
    }
    return header;
}

class option_writer
{
public:
    explicit option_writer(std::span<std::byte> buffer) : buffer_(buffer) {}

    template <typename Integer>
    void add(option_type type, Integer value)
    {
        write_big_endian(buffer_, size_, option_class);
        buffer_[size_ + 2] = static_cast<std::byte>(type);
        buffer_[size_ + 3] = static_cast<std::byte>(sizeof(Integer) / 4);
        write_big_endian(buffer_, size_ + option_header_size, value);
        size_ += option_header_size + sizeof(Integer);
    }

    std::size_t size() const { return size_; }

private:
    std::span<std::byte> buffer_;
    std::size_t size_{0};
};

} // namespace

result<decoded_geneve> decode_geneve(std::span<const std::byte> datagram)
{
    if (datagram.size() < fixed_header_size)
    {
        return malformed("truncated");
    }
    const std::uint8_t first = byte_at(datagram, 0);
    if (first & version_mask)
    {
        return malformed("version is not 0");
    }
    if (byte_at(datagram, 1) & control_flag)
    {
        return malformed("control packets are not supported");
    }
    if (read_big_endian<std::uint16_t>(datagram, 2) != ethertype_ipv4)
    {
        return malformed("payload is not IPv4");
    }
    const std::size_t size =
        fixed_header_size + std::size_t{4} * (first & options_length_mask);
    if (datagram.size() < size)
    {
        return malformed("options are truncated");
    }
    const auto header = read_options(
        datagram.subspan(fixed_header_size, size - fixed_header_size));
    if (!header)
    {
        return tl::unexpected<error>(header.error());
    }
    return decoded_geneve{*header, size};
}

std::span<const std::byte>
encode_geneve(const geneve_header& header,
              std::array<std::byte, max_geneve_header_size>& buffer)
{
    option_writer options{std::span(buffer).subspan(fixed_header_size)};
    if (header.work != request_class::unspecified)
    {
        options.add(option_type::work, static_cast<std::uint32_t>(header.work));
    }
    if (header.hops != 0)
    {
        options.add(option_type::hops, std::uint32_t{header.hops});
    }
    if (header.forwarded_by != instance_id{})
    {
        options.add(option_type::forwarded_by, header.forwarded_by.value);
    }
    if (header.deadline_ms)
    {
        options.add(option_type::deadline, *header.deadline_ms);
    }
    if (header.request)
    {
        options.add(option_type::request, *header.request);
    }
    buffer[0] = static_cast<std::byte>(options.size() / 4);
    buffer[1] = std::byte{0};
    write_big_endian(std::span(buffer), 2, ethertype_ipv4);
    write_big_endian(std::span(buffer), 4, std::uint32_t{0}); // VNI 0
    return std::span(buffer).first(fixed_header_size + options.size());
}

} // namespace boragestand::protocol
