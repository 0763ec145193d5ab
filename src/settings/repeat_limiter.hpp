#pragma once

#include "base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::settings
{

/// Admits one log line per cause and interval and counts the omitted ones. The
/// number of causes is bounded; further causes are counted as one.
class repeat_limiter
{
public:
    explicit repeat_limiter(duration interval, std::size_t max_causes = 256);

    /// Returns the number of lines omitted since the last admitted line of this
    /// cause if a line may be written now, else nothing.
    std::optional<std::uint64_t> admit(std::string_view cause, time_point now);

    /// Removes the causes whose interval has passed and returns those with
    /// omitted lines and their number. Call this periodically, so that the
    /// last count of a burst is reported.
    std::vector<std::pair<std::string, std::uint64_t>>
    take_omitted_counts(time_point now);

private:
    struct cause_state
    {
        time_point last;
        std::uint64_t omitted{0};
    };

    duration interval_;
    std::size_t max_causes_;
    std::map<std::string, cause_state, std::less<>> causes_;
};

} // namespace boragestand::settings
