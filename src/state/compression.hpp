#pragma once

#include "base/base.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace boragestand::state
{

/// Whether bytes are marked as the output of compress(). No encoded array,
/// map or text of msgpack starts with the first byte of this mark.
bool is_compressed(std::string_view bytes);

/// Compresses bytes to one zstd frame that states its size and has a checksum.
std::string compress(std::string_view plain);

/// Restores the input of compress(). error_kind::malformed_message if the bytes
/// are not exactly one undamaged frame, or if its content would exceed
/// max_size. Never throws.
result<std::string> decompress(std::string_view bytes, std::size_t max_size);

} // namespace boragestand::state
