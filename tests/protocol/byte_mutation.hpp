#pragma once

#include "base/base.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace boragestand::protocol
{

/// Corrupts encoded bytes at random: replaces them by random bytes, truncates
/// them, flips bits or repeats a part.
inline std::vector<std::byte> mutate_bytes(std::vector<std::byte> bytes)
{
    const auto below = [](std::size_t bound)
    {
        return bound == 0 ? 0 : *rc::gen::inRange<std::size_t>(0, bound);
    };
    switch (below(4))
    {
    case 0:
        bytes.resize(below(200));
        for (std::byte& byte : bytes)
        {
            byte = static_cast<std::byte>(below(256));
        }
        return bytes;
    case 1:
        bytes.resize(below(bytes.size()));
        return bytes;
    case 2:
        for (std::size_t flips = 1 + below(3); flips > 0 && !bytes.empty();
             --flips)
        {
            bytes[below(bytes.size())] ^= std::byte{1} << below(8);
        }
        return bytes;
    default:
        const std::vector<std::byte> part(bytes.begin(),
                                          bytes.begin() + below(bytes.size()));
        bytes.insert(bytes.begin() + below(bytes.size()), part.begin(),
                     part.end());
        return bytes;
    }
}

/// Whether a decoder returned a value or error_kind::malformed_message.
template <typename Value>
bool is_value_or_malformed(const result<Value>& decoded)
{
    return decoded || decoded.error().kind == error_kind::malformed_message;
}

} // namespace boragestand::protocol
