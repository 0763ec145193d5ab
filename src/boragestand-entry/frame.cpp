#include "frame.hpp"

#include "state/state.hpp"

namespace boragestand::entry
{

namespace
{

constexpr std::size_t length_size = 4;

} // namespace

result<frame_view> next_frame(std::string_view buffer)
{
    if (buffer.size() < length_size)
    {
        return frame_view{};
    }
    std::size_t length = 0;
    for (const char c : buffer.substr(0, length_size))
    {
        length = length << 8 | static_cast<unsigned char>(c);
    }
    if (length > state::max_update_size)
    {
        return failure(error_kind::malformed_message,
                       "a frame of " + std::to_string(length) +
                           " bytes exceeds the limit of " +
                           std::to_string(state::max_update_size));
    }
    if (buffer.size() < length_size + length)
    {
        return frame_view{};
    }
    return frame_view{true, buffer.substr(length_size, length),
                      length_size + length};
}

std::string make_frame(std::string_view payload)
{
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        frame += static_cast<char>(payload.size() >> shift & 0xff);
    }
    frame += payload;
    return frame;
}

} // namespace boragestand::entry
