#pragma once

#include "coordination/coordination.hpp"

#include <map>
#include <string>

namespace boragestand::entry
{

/// The status of an entry instance as a JSON object.
std::string status_json(const coordination::flow_router& router,
                        const state::configuration& configuration,
                        const std::map<instance_id, std::string>& names,
                        std::size_t held_packets, bool stopping,
                        time_point now);

} // namespace boragestand::entry
