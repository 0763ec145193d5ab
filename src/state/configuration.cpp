#include "state/configuration.hpp"

#include <algorithm>

namespace boragestand::state
{

namespace
{

template <typename Predicate>
const service* find_where(const std::vector<service>& services,
                          Predicate matches)
{
    const auto found = std::find_if(services.begin(), services.end(), matches);
    return found == services.end() ? nullptr : &*found;
}

} // namespace

const service* configuration::find_service(const transport::endpoint& address,
                                           protocol::ip_protocol protocol) const
{
    return find_where(services,
                      [&](const service& candidate) {
                          return candidate.address == address &&
                                 candidate.protocol == protocol;
                      });
}

const service* configuration::find_service(service_id id) const
{
    return find_where(services, [id](const service& candidate)
                      { return candidate.id == id; });
}

const service* configuration::find_service(std::string_view name) const
{
    return find_where(services, [name](const service& candidate)
                      { return candidate.name == name; });
}

} // namespace boragestand::state
