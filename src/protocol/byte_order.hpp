#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace boragestand::protocol
{

/// Reads an unsigned integer in network byte order at an offset that the caller
/// has bounds-checked.
template <typename Integer>
Integer read_big_endian(std::span<const std::byte> bytes, std::size_t offset)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
    {
        value = value << 8 | std::to_integer<std::uint64_t>(bytes[offset + i]);
    }
    return static_cast<Integer>(value);
}

/// Writes an unsigned integer in network byte order at an offset that the
/// caller has bounds-checked.
template <typename Integer>
void write_big_endian(std::span<std::byte> bytes, std::size_t offset,
                      Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
    {
        const std::size_t shift = 8 * (sizeof(Integer) - 1 - i);
        bytes[offset + i] =
            static_cast<std::byte>(static_cast<std::uint64_t>(value) >> shift);
    }
}

} // namespace boragestand::protocol
