#pragma once

#include "base/base.hpp"
#include "settings/fleet_settings.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace boragestand::settings
{

/// Settings of an instance of a fleet, reloaded when their file changes.
class settings_watch
{
public:
    /// settings are those read from the file at the start.
    settings_watch(std::string file, fleet_settings settings);

    /// The current settings.
    const fleet_settings& current() const { return current_; }

    /// Reads the file if its size or modification time has changed since it was
    /// last read, or if forced is set. Replaces the current settings if they
    /// differ and returns the new ones. Fails with the errors of
    /// read_text_file, or with error_kind::invalid_settings and all faults; the
    /// current settings then stay in effect.
    result<std::optional<fleet_settings>> reload(bool forced);

private:
    /// Distinguishes versions of the file without reading it.
    struct file_stamp
    {
        std::filesystem::file_time_type written{};
        std::uintmax_t size{0};

        bool operator==(const file_stamp&) const = default;
    };

    file_stamp read_stamp() const;

    std::string file_;
    fleet_settings current_;
    file_stamp stamp_;
};

/// Returns the names of changed settings that take effect only after a restart,
/// separated by commas; empty if there are none.
std::string settings_needing_restart(const fleet_settings& previous,
                                     const fleet_settings& next);

} // namespace boragestand::settings
