#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragestand::state
{

/// Largest payload of one frame in bytes.
constexpr std::size_t max_frame_payload = 64 * 1024 * 1024;

/// State of the bytes where a frame is expected.
enum class frame_state
{
    valid,
    end,     ///< no bytes left
    torn,    ///< an interrupted write of the last frame
    damaged, ///< a complete frame whose bytes have changed
};

/// A frame found by scan_frame().
struct frame_scan
{
    frame_state state{frame_state::end};
    std::string_view payload;
    std::size_t end{0}; ///< offset after the frame
};

/// Frames a payload: magic, length, checksum of both, XXH3 of the payload.
std::string make_frame(std::string_view payload);

/// Examines the frame at an offset of a file's content. A frame counts as torn
/// if the file ends within it or if part of it reads as zeros, and if no valid
/// frame follows; every other mismatch is damage.
frame_scan scan_frame(std::string_view content, std::size_t offset);

} // namespace boragestand::state
