#include "settings/settings.hpp"
#include "settings_files.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace boragestand::settings
{

namespace
{

constexpr time_point start_time{std::chrono::hours(1)};

std::string temporary_file(const std::string& name)
{
    return testing::TempDir() + "boragestand_" + std::to_string(getpid()) +
           "_" + name;
}

struct run_result
{
    int status;
    std::string out;
    std::string err;
};

run_result run_entry(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "boragestand-entry");
    std::ostringstream out;
    std::ostringstream err;
    const auto started = parse_entry_command_line(
        {"boragestand-entry", "Summary."}, static_cast<int>(arguments.size()),
        arguments.data(), out, err);
    const int* status = std::get_if<int>(&started);
    return {status == nullptr ? -1 : *status, out.str(), err.str()};
}

} // namespace

// Guards against printed settings that another run would read differently.
TEST(settings, printed_settings_read_back_equal)
{
    const auto entry = read_entry_settings(entry_text);
    ASSERT_TRUE(entry.has_value());
    EXPECT_EQ(read_entry_settings(to_yaml(*entry)), *entry);
    EXPECT_NE(to_yaml(*entry).find("flow_capacity: 600000"), std::string::npos);
    const auto control = read_control_settings(control_text);
    ASSERT_TRUE(control.has_value());
    EXPECT_EQ(read_control_settings(to_yaml(*control)), *control);
}

// Guards against options such as --version that start the program, and against
// errors with the same or a wrong exit status.
TEST(command_line, exits_with_the_status_of_the_error_kind)
{
    const std::string good = temporary_file("good.yaml");
    const std::string bad = temporary_file("bad.yaml");
    std::ofstream(good) << entry_text;
    std::ofstream(bad) << "instance: 5\n";
    const std::string directory = testing::TempDir();

    EXPECT_EQ(run_entry({"--settings", good.c_str()}).status, -1);
    EXPECT_EQ(
        run_entry({"--settings", good.c_str(), "--check-settings"}).status, 0);
    const run_result printed =
        run_entry({"--settings", good.c_str(), "--print-settings"});
    EXPECT_EQ(printed.status, 0);
    EXPECT_TRUE(read_entry_settings(printed.out).has_value());
    EXPECT_EQ(run_entry({"--version"}).out.rfind("boragestand-entry ", 0), 0u);
    EXPECT_NE(run_entry({"--help"}).out.find("3  invalid_settings"),
              std::string::npos);
    EXPECT_EQ(run_entry({}).status, 2);
    EXPECT_EQ(run_entry({"--frobnicate"}).status, 2);
    EXPECT_EQ(run_entry({"stray"}).status, 2);
    EXPECT_EQ(run_entry({"--settings", "/nonexistent"}).status, 3);
    EXPECT_EQ(run_entry({"--settings", directory.c_str()}).status, 3);
    const run_result faulty = run_entry({"--settings", bad.c_str()});
    EXPECT_EQ(faulty.status, 3);
    EXPECT_NE(faulty.err.find(bad + ":1:11: instance: expected a mapping"),
              std::string::npos)
        << faulty.err;
    std::remove(good.c_str());
    std::remove(bad.c_str());
}

// Guards against a burst of one error that suppresses log lines of others, and
// against a count that is lost when the burst ends.
TEST(repeat_limiter, counts_what_it_leaves_out)
{
    repeat_limiter limiter(std::chrono::seconds(10), 2);
    const auto at = [](int second)
    {
        return start_time + std::chrono::seconds(second);
    };
    EXPECT_EQ(limiter.admit("a", at(0)), 0u);
    EXPECT_EQ(limiter.admit("a", at(1)), std::nullopt);
    EXPECT_EQ(limiter.admit("b", at(1)), 0u);
    EXPECT_EQ(limiter.admit("c", at(1)), 0u) << "shared by further causes";
    EXPECT_EQ(limiter.admit("d", at(1)), std::nullopt);
    EXPECT_EQ(limiter.admit("a", at(9)), std::nullopt);
    EXPECT_EQ(limiter.admit("a", at(10)), 2u);
    EXPECT_EQ(limiter.admit("a", at(11)), std::nullopt);
    const auto counts = limiter.take_omitted_counts(at(30));
    ASSERT_EQ(counts.size(), 2u);
    EXPECT_EQ(counts[0], std::make_pair(std::string("a"), std::uint64_t{1}));
    EXPECT_TRUE(limiter.take_omitted_counts(at(60)).empty());
}

// Guards against lines that cannot be parsed, a level change that needs a
// restart, and disabled events that still build their line.
TEST(event_log, writes_pairs_and_follows_the_level)
{
    const std::string file = temporary_file("log");
    std::remove(file.c_str());
    auto opened = event_log::open({log_level::info, file}, "tx waco");
    ASSERT_TRUE(opened.has_value());
    event_log& log = **opened;
    int built = 0;
    const auto build = [&built]
    {
        ++built;
        return log_line("flow_placed").with("upstream", "md-01");
    };
    log.write(log_level::debug, build);
    EXPECT_EQ(built, 0);
    log.set_level(log_level::debug);
    log.write(log_level::debug, build);
    log.write_limited(log_level::warn, "x", start_time, build);
    log.write_limited(log_level::warn, "x", start_time, build);
    EXPECT_EQ(built, 2);
    log.report_omitted(start_time + repeat_interval);
    opened->reset();

    std::ifstream written(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(written, line);)
    {
        lines.push_back(line);
    }
    ASSERT_EQ(lines.size(), 3u);
    EXPECT_EQ(lines[0].rfind("time=20", 0), 0u);
    EXPECT_NE(lines[0].find("Z level=debug instance=\"tx waco\" "
                            "event=flow_placed upstream=md-01"),
              std::string::npos)
        << lines[0];
    EXPECT_NE(lines[2].find("event=lines_omitted cause=x omitted=1"),
              std::string::npos)
        << lines[2];
    std::remove(file.c_str());
}

// Guards against a program that runs without a log.
TEST(event_log, refuses_a_file_that_cannot_be_written)
{
    const auto opened =
        event_log::open({log_level::info, "/nonexistent/log"}, "a");
    ASSERT_FALSE(opened.has_value());
    EXPECT_EQ(opened.error().kind, error_kind::invalid_settings);
}

} // namespace boragestand::settings
