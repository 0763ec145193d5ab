#include "settings/log_level.hpp"

#include <algorithm>
#include <array>

namespace boragestand::settings
{

namespace
{

constexpr std::array<std::string_view, 4> names{"error", "warn", "info",
                                                "debug"};

} // namespace

std::string_view name_of(log_level level)
{
    return names[static_cast<std::size_t>(level)];
}

std::optional<log_level> parse_log_level(std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
    {
        return std::nullopt;
    }
    return static_cast<log_level>(found - names.begin());
}

} // namespace boragestand::settings
