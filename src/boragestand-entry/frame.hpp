#pragma once

#include "base/base.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace boragestand::entry
{

/// The first frame of a buffer. A frame is a 4-byte big-endian length and a
/// payload.
struct frame_view
{
    bool complete{false};
    std::string_view payload; ///< valid while the buffer is not changed
    std::size_t size{0};      ///< bytes of the whole frame
};

/// Parses the first frame of a buffer. Fails with error_kind::malformed_message
/// if its length exceeds the size limit of a configuration update.
result<frame_view> next_frame(std::string_view buffer);

/// Prefixes a payload with its length.
std::string make_frame(std::string_view payload);

} // namespace boragestand::entry
