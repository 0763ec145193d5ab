#include "settings/settings_watch.hpp"

#include "settings/settings_reader.hpp"
#include "settings/text_file.hpp"

#include <tuple>
#include <utility>

namespace boragestand::settings
{

settings_watch::settings_watch(std::string file, fleet_settings settings)
    : file_(std::move(file))
    , current_(std::move(settings))
    , stamp_(read_stamp())
{
}

// A missing file yields an empty stamp, so it is read again once it exists.
settings_watch::file_stamp settings_watch::read_stamp() const
{
    std::error_code ignored;
    const auto written = std::filesystem::last_write_time(file_, ignored);
    if (ignored)
    {
        return {};
    }
    const auto size = std::filesystem::file_size(file_, ignored);
    return ignored ? file_stamp{} : file_stamp{written, size};
}

result<std::optional<fleet_settings>> settings_watch::reload(bool forced)
{
    const auto stamp = read_stamp();
    if (!forced && stamp == stamp_)
    {
        return std::nullopt;
    }
    stamp_ = stamp;
    const auto text = read_text_file(file_, max_settings_size);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    auto next = read_fleet_settings(*text);
    if (!next)
    {
        std::string faults;
        for (const auto& fault : next.error())
        {
            faults += (faults.empty() ? "" : "; ") + file_ + ':' +
                      document::to_string(fault);
        }
        return failure(error_kind::invalid_settings, faults);
    }
    if (*next == current_)
    {
        return std::nullopt;
    }
    current_ = std::move(*next);
    return current_;
}

std::string settings_needing_restart(const fleet_settings& previous,
                                     const fleet_settings& next)
{
    std::string names;
    const auto add_if = [&names](bool differs, std::string_view name)
    {
        if (differs)
        {
            names += (names.empty() ? "" : ",") + std::string(name);
        }
    };
    add_if(previous.name != next.name, "instance.name");
    add_if(previous.data_centre != next.data_centre, "instance.data_centre");
    const auto addresses = [](const fleet_settings& settings)
    {
        return std::tie(settings.internal, settings.listen, settings.packets,
                        settings.readiness, settings.announcements,
                        settings.metrics);
    };
    add_if(addresses(previous) != addresses(next), "addresses");
    add_if(previous.first_start != next.first_start, "first_start");
    add_if(previous.data_directory != next.data_directory, "data_directory");
    add_if(previous.heartbeat_ms != next.heartbeat_ms, "heartbeat_ms");
    add_if(previous.link_mbps != next.link_mbps, "link_mbps");
    add_if(previous.log.file != next.log.file, "log.file");
    return names;
}

} // namespace boragestand::settings
