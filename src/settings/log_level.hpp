#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragestand::settings
{

/// How much is logged; each level includes those before it.
enum class log_level : std::uint8_t
{
    error = 0,
    warn = 1,
    info = 2,
    debug = 3
};

/// "error", "warn", "info" or "debug".
std::string_view name_of(log_level level);

/// The level with this name, or nothing.
std::optional<log_level> log_level_named(std::string_view name);

/// The file name that stands for standard output. Writing there never waits: a
/// reader that stops costs lines, which are counted.
constexpr std::string_view standard_output = "-";

/// Where and how much a program logs.
struct log_settings
{
    log_level level{log_level::info};
    std::string file; ///< empty for standard error, "-" for standard output

    auto operator<=>(const log_settings&) const = default;
};

} // namespace boragestand::settings
