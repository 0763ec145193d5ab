#include "state/record_frame.hpp"

#include "base/base.hpp"

#include <algorithm>
#include <cstring>
#include <span>

namespace boragestand::state
{

namespace
{

constexpr std::string_view magic = "BSR1";
constexpr std::size_t header_size = 24;

// Size of a sector, the smallest unit that a disk writes as a whole. A write
// interrupted by a power loss can leave sectors within the new file size that
// read as zeros.
constexpr std::size_t sector_size = 512;

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed)
{
    return hash_bytes(std::as_bytes(std::span(bytes.data(), bytes.size())),
                      seed);
}

template <typename Integer>
void append_integer(std::string& out, Integer value)
{
    for (std::size_t byte = 0; byte < sizeof(Integer); ++byte)
    {
        out.push_back(static_cast<char>((value >> (8 * byte)) & 0xff));
    }
}

template <typename Integer>
Integer read_integer(std::string_view bytes, std::size_t offset)
{
    Integer value = 0;
    for (std::size_t byte = 0; byte < sizeof(Integer); ++byte)
    {
        const auto part = static_cast<unsigned char>(bytes[offset + byte]);
        value |= static_cast<Integer>(part) << (8 * byte);
    }
    return value;
}

bool is_header_valid(std::string_view rest)
{
    return rest.size() >= header_size && rest.substr(0, 4) == magic &&
           read_integer<std::uint64_t>(rest, 8) ==
               checksum(rest.substr(0, 8), header_size) &&
           read_integer<std::uint32_t>(rest, 4) <= max_frame_payload;
}

// The payload, or a null view if the frame is not complete and correct.
std::string_view find_valid_payload(std::string_view rest)
{
    if (!is_header_valid(rest))
    {
        return {};
    }
    const auto length = read_integer<std::uint32_t>(rest, 4);
    if (rest.size() - header_size < length)
    {
        return {};
    }
    const std::string_view payload = rest.substr(header_size, length);
    if (checksum(payload, 0) != read_integer<std::uint64_t>(rest, 16))
    {
        return {};
    }
    return payload;
}

bool valid_frame_follows(std::string_view content, std::size_t offset)
{
    for (auto next = content.find(magic, offset + 1);
         next != std::string_view::npos; next = content.find(magic, next + 1))
    {
        if (find_valid_payload(content.substr(next)).data() != nullptr)
        {
            return true;
        }
    }
    return false;
}

bool has_zero_sector(std::string_view content, std::size_t begin,
                     std::size_t end)
{
    while (begin < end)
    {
        const auto sector_end =
            std::min(end, (begin / sector_size + 1) * sector_size);
        const auto sector = content.substr(begin, sector_end - begin);
        if (sector.find_first_not_of('\0') == std::string_view::npos)
        {
            return true;
        }
        begin = sector_end;
    }
    return false;
}

bool is_torn(std::string_view content, std::size_t offset)
{
    const std::string_view rest = content.substr(offset);
    if (rest.size() < header_size)
    {
        return true;
    }
    if (!is_header_valid(rest))
    {
        return has_zero_sector(content, offset, content.size());
    }
    const std::size_t end =
        offset + header_size + read_integer<std::uint32_t>(rest, 4);
    return end > content.size() || has_zero_sector(content, offset, end);
}

} // namespace

std::string make_frame(std::string_view payload)
{
    std::string frame(magic);
    frame.reserve(header_size + payload.size());
    append_integer(frame, static_cast<std::uint32_t>(payload.size()));
    append_integer(frame, checksum(frame, header_size));
    append_integer(frame, checksum(payload, 0));
    frame.append(payload);
    return frame;
}

frame_scan scan_frame(std::string_view content, std::size_t offset)
{
    if (offset >= content.size())
    {
        return {frame_state::end, {}, content.size()};
    }
    const auto payload = find_valid_payload(content.substr(offset));
    if (payload.data() != nullptr)
    {
        return {frame_state::valid, payload,
                offset + header_size + payload.size()};
    }
    const bool torn =
        is_torn(content, offset) && !valid_frame_follows(content, offset);
    return {
        torn ? frame_state::torn : frame_state::damaged, {}, content.size()};
}

} // namespace boragestand::state
