#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragestand::settings
{

/// Writes lines to a file descriptor without blocking. What the descriptor does
/// not accept is buffered up to a limit; further lines are dropped and counted.
class bounded_output
{
public:
    /// Makes the descriptor non-blocking but does not own it. limit is the size
    /// of the buffer in bytes.
    bounded_output(int descriptor, std::size_t limit);

    /// Writes or buffers a line, which must end with a newline.
    void write(std::string_view line);

    /// Writes as much of the buffer as the descriptor accepts.
    void flush();

    /// Number of lines dropped because the buffer was full.
    std::uint64_t dropped() const { return dropped_; }

private:
    int descriptor_;
    std::size_t limit_;
    std::string buffer_;
    std::uint64_t dropped_{0};
    std::uint64_t reported_dropped_{0};
};

} // namespace boragestand::settings
