#include "base/hash.hpp"

#include <xxhash.h>

namespace boragestand
{

std::uint64_t hash_bytes(std::span<const std::byte> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace boragestand
