#pragma once

#include "base/base.hpp"
#include "settings/fleet_settings.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace boragestand::settings
{

/// The settings file of an instance of a fleet, read again when it changes.
class settings_watch
{
public:
    /// settings is what was read from the file at the start.
    settings_watch(std::string file, fleet_settings settings);

    /// What is in force.
    const fleet_settings& current() const { return current_; }

    /// Reads the file if its size or time differ from the last reading, or if
    /// forced is set. Returns the settings if they differ from the former ones,
    /// which then are replaced. Errors as of read_text_file;
    /// error_kind::invalid_settings, with all faults, leaves the former ones in
    /// force.
    result<std::optional<fleet_settings>> reload(bool forced);

private:
    /// Tells versions of the file apart without reading it.
    struct stamp
    {
        std::filesystem::file_time_type written{};
        std::uintmax_t size{0};

        bool operator==(const stamp&) const = default;
    };

    stamp read_stamp() const;

    std::string file_;
    fleet_settings current_;
    stamp stamp_;
};

/// Names of the settings that differ and take effect only at the next start,
/// separated by commas; empty if there are none.
std::string settings_for_next_start(const fleet_settings& former,
                                    const fleet_settings& next);

} // namespace boragestand::settings
