#pragma once

#include "coordination/coordination.hpp"
#include "settings/settings.hpp"
#include "transport/transport.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragestand::entry
{

/// Settings of an entry instance, converted to the types of the other
/// libraries.
struct entry_options
{
    coordination::router_settings router;
    data_centre_id data_centre;
    transport::endpoint fabric;
    transport::endpoint peers;
    transport::endpoint http;
    transport::endpoint callers_via;
    std::map<instance_id, std::string> names;
    std::unordered_map<instance_id, transport::endpoint> member_fabric;
    std::unordered_map<instance_id, transport::endpoint> member_peers;
    std::map<instance_id, transport::endpoint> member_http;
    std::vector<transport::endpoint> control;
};

/// Converts validated settings. Fails with error_kind::invalid_settings if an
/// endpoint does not parse. The member maps exclude this instance; names
/// includes it.
result<entry_options> make_options(const settings::entry_settings& settings,
                                   std::uint64_t incarnation);

} // namespace boragestand::entry
