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

/// Lets one line per cause and interval through and counts the others. The
/// number of causes is bounded; beyond it all new causes share one.
class repeat_limiter
{
public:
    explicit repeat_limiter(duration interval, std::size_t max_causes = 256);

    /// The number of lines left out since the last one of this cause if a line
    /// may be written now, else nothing.
    std::optional<std::uint64_t> admit(std::string_view cause, time_point now);

    /// Causes that stopped with lines left out, and how many; call at times so
    /// that the last count of a burst is not lost.
    std::vector<std::pair<std::string, std::uint64_t>>
    take_overdue(time_point now);

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
