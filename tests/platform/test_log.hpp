#pragma once

#include "settings/settings.hpp"

namespace boragestand::platform
{

/// The log of this process, which can be opened only once.
inline settings::event_log& quiet_log()
{
    static const auto log = std::move(
        *settings::event_log::open({settings::log_level::error, ""}, "test"));
    return *log;
}

} // namespace boragestand::platform
