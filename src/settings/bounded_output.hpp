#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragestand::settings
{

/// Writes lines to a descriptor and never waits for its reader: what the
/// descriptor does not take is kept up to a limit, and further lines are
/// dropped and counted.
class bounded_output
{
public:
    /// Makes the descriptor non-blocking; it stays open. limit is in bytes.
    bounded_output(int descriptor, std::size_t limit);

    /// Writes or keeps a line, which ends with a line end.
    void write(std::string_view line);

    /// Writes what is kept, as far as the descriptor takes it.
    void flush();

    /// Lines that were dropped since the start.
    std::uint64_t dropped() const { return dropped_; }

private:
    int descriptor_;
    std::size_t limit_;
    std::string kept_;
    std::uint64_t dropped_{0};
    std::uint64_t reported_{0};
};

} // namespace boragestand::settings
