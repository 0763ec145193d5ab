#include "settings/bounded_output.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

namespace boragestand::settings
{

namespace
{

constexpr std::size_t limit = 4096;
constexpr std::size_t line_count = 5000;

std::string line_of(std::size_t number)
{
    return "event=flow number=" + std::to_string(number) + "\n";
}

std::string read_all(int descriptor)
{
    std::string text;
    std::array<char, 65536> block{};
    while (true)
    {
        const auto got = ::read(descriptor, block.data(), block.size());
        if (got <= 0)
        {
            return text;
        }
        text.append(block.data(), static_cast<std::size_t>(got));
    }
}

std::size_t count_whole_lines(const std::string& text)
{
    std::size_t count = 0;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        const auto end = text.find('\n', begin);
        EXPECT_NE(end, std::string::npos);
        const auto line = text.substr(begin, end - begin);
        const bool whole =
            line.starts_with("event=flow number=") ||
            line.find("event=lines_omitted") != std::string::npos;
        EXPECT_TRUE(whole) << line;
        count += line.starts_with("event=flow number=") ? 1 : 0;
        begin = end + 1;
    }
    return count;
}

} // namespace

// Guards against a process that blocks on a reader that has stalled, and
// against lines that are truncated or lost without being counted.
TEST(bounded_output, drops_and_counts_lines_while_nobody_reads)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    std::uint64_t dropped = 0;
    std::string text;
    {
        bounded_output output(ends[1], limit);
        // More than a pipe can hold; write() returns although nobody reads.
        for (std::size_t number = 0; number < line_count; ++number)
        {
            output.write(line_of(number));
        }
        EXPECT_GT(output.dropped(), 0U);

        std::array<char, 65536> block{};
        const auto got = ::read(ends[0], block.data(), block.size());
        ASSERT_GT(got, 0);
        text.assign(block.data(), static_cast<std::size_t>(got));
        output.flush();
        dropped = output.dropped();
    }
    ::close(ends[1]);
    text += read_all(ends[0]);
    ::close(ends[0]);
    EXPECT_EQ(count_whole_lines(text) + dropped, line_count);
}

} // namespace boragestand::settings
