#include "entry_status.hpp"

#include "state_names.hpp"

#include <nlohmann/json.hpp>

namespace boragestand::entry
{

namespace
{

using json = nlohmann::json;

json members_json(const coordination::flow_router& router,
                  const std::map<instance_id, std::string>& names)
{
    json members = json::array();
    for (const auto& update : router.view())
    {
        const auto name = names.find(update.member);
        members.push_back({{"id", update.member.value},
                           {"name", name == names.end() ? "" : name->second},
                           {"state", name_of(update.state)},
                           {"incarnation", update.incarnation}});
    }
    return members;
}

json upstreams_json(const coordination::flow_router& router,
                    const state::configuration& configuration, time_point now)
{
    json upstreams = json::array();
    for (const auto& record : router.traffic().records(now))
    {
        const auto* service = configuration.find_service(record.service);
        const auto active = router.traffic().active_set(record.service);
        const bool takes_flows =
            std::any_of(active.begin(), active.end(),
                        [&](const auto& member)
                        { return member.upstream == record.upstream; });
        upstreams.push_back(
            {{"service", service == nullptr ? "" : service->name},
             {"name", record.name},
             {"address", transport::to_string(record.address)},
             {"state", name_of(record.state)},
             {"active", takes_flows}});
    }
    return upstreams;
}

} // namespace

std::string status_json(const coordination::flow_router& router,
                        const state::configuration& configuration,
                        const std::map<instance_id, std::string>& names,
                        std::size_t held_packets, bool stopping, time_point now)
{
    const json status{
        {"revision", router.revision()},
        {"note_number", configuration.note_number},
        {"stopping", stopping},
        {"flows", router.flow_count()},
        {"held_packets", held_packets},
        {"members", members_json(router, names)},
        {"upstreams", upstreams_json(router, configuration, now)}};
    return status.dump();
}

} // namespace boragestand::entry
