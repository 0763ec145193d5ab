#include "base/base.hpp"

#include <gtest/gtest.h>

#include <set>

namespace boragestand
{

// Guards against a value that adds pairs to the line when it is parsed.
TEST(log_line, quotes_values_that_would_split_the_line)
{
    const auto line = log_line("note")
                          .with("text", "a b=\"c\"\n")
                          .with("empty", "")
                          .with("count", 3)
                          .with("ok", true);
    EXPECT_EQ(line.text(), "event=note text=\"a b=\\\"c\\\"\\x0a\" "
                           "empty=\"\" count=3 ok=true");
}

// Guards against a kind without a row, or two kinds with the same exit status.
TEST(error_table, has_one_row_for_each_kind)
{
    std::set<int> exit_statuses;
    for (int value = 0; value <= static_cast<int>(error_kind::internal);
         ++value)
    {
        const auto kind = static_cast<error_kind>(value);
        const error_info& info = error_info_for(kind);
        EXPECT_EQ(info.kind, kind);
        EXPECT_EQ(parse_error_kind(info.name), kind);
        EXPECT_TRUE(exit_statuses.insert(info.exit_status).second);
    }
}

// Guards against a bucket that gives out more tokens than its rate and burst.
TEST(token_bucket, never_gives_more_than_burst_and_rate)
{
    token_bucket bucket(10.0, 5.0);
    int taken = 0;
    for (int millisecond = 0; millisecond <= 1000; ++millisecond)
    {
        const time_point now{std::chrono::milliseconds(millisecond)};
        taken += bucket.take(1.0, now) ? 1 : 0;
    }
    EXPECT_EQ(taken, 15);
}

} // namespace boragestand
