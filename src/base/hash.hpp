#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace boragestand
{

/// XXH3 64-bit hash of a byte string.
std::uint64_t hash_bytes(std::span<const std::byte> bytes,
                         std::uint64_t seed = 0);

/// XXH3 64-bit hash of a string.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// Mixes two 64-bit values into one (the finalizer of splitmix64). Used for
/// rendezvous scores, where it runs once per candidate and packet.
constexpr std::uint64_t mix_hashes(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

} // namespace boragestand
