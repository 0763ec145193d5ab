#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragestand::settings
{

/// Verbosity of a log; each level includes those before it.
enum class log_level : std::uint8_t
{
    error = 0,
    warn = 1,
    info = 2,
    debug = 3
};

/// "error", "warn", "info" or "debug".
std::string_view name_of(log_level level);

/// Returns the level with this name, or nothing if there is none.
std::optional<log_level> parse_log_level(std::string_view name);

/// File name that selects standard output. Writing there never blocks: if the
/// reader stalls, lines are dropped and counted.
constexpr std::string_view standard_output = "-";

/// Level and destination of the log of a program.
struct log_settings
{
    log_level level{log_level::info};
    std::string file; ///< empty for standard error, "-" for standard output

    auto operator<=>(const log_settings&) const = default;
};

} // namespace boragestand::settings
