#include "settings/repeat_limiter.hpp"

#include <utility>

namespace boragestand::settings
{

namespace
{

constexpr std::string_view shared_cause = "other";

} // namespace

repeat_limiter::repeat_limiter(duration interval, std::size_t max_causes)
    : interval_(interval), max_causes_(max_causes)
{
}

std::optional<std::uint64_t> repeat_limiter::admit(std::string_view cause,
                                                   time_point now)
{
    auto found = causes_.find(cause);
    if (found == causes_.end() && causes_.size() >= max_causes_)
    {
        cause = shared_cause;
        found = causes_.find(cause);
    }
    if (found == causes_.end())
    {
        causes_.emplace(cause, cause_state{now, 0});
        return 0;
    }
    cause_state& state = found->second;
    if (now - state.last < interval_)
    {
        ++state.omitted;
        return std::nullopt;
    }
    state.last = now;
    return std::exchange(state.omitted, 0);
}

std::vector<std::pair<std::string, std::uint64_t>>
repeat_limiter::take_omitted_counts(time_point now)
{
    std::vector<std::pair<std::string, std::uint64_t>> counts;
    for (const auto& [cause, state] : causes_)
    {
        if (now - state.last >= interval_ && state.omitted > 0)
        {
            counts.emplace_back(cause, state.omitted);
        }
    }
    std::erase_if(causes_, [&](const auto& each)
                  { return now - each.second.last >= interval_; });
    return counts;
}

} // namespace boragestand::settings
