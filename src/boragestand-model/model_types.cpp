#include "model_types.hpp"

namespace boragestand::model
{

std::string name_of(design_kind kind)
{
    switch (kind)
    {
    case design_kind::table_only:
        return "table_only";
    case design_kind::table_and_cache:
        return "table_and_cache";
    case design_kind::owner_without_backup:
        return "owner_without_backup";
    case design_kind::chosen:
        return "chosen";
    }
    return "unknown";
}

protocol::upstream_record make_upstream_record(unsigned index)
{
    protocol::upstream_record record;
    record.service = model_service;
    record.name = "upstream-" + std::to_string(index);
    record.upstream = protocol::upstream_id_of(record.name);
    record.address = {0x0a010000u + index, protocol::geneve_port};
    record.incarnation = 1;
    record.sequence = 1;
    record.slots = slots_per_upstream;
    // A lease of one day outlasts every measurement: the load model does not
    // renew leases. The flow model sets its own lease.
    record.lease_ms = 24 * 3600 * 1000;
    return record;
}

state::configuration model_configuration()
{
    state::service service;
    service.id = model_service;
    service.name = "loan-desk";
    service.address = {0x0a000001u, 443};
    state::configuration configuration;
    configuration.revision = 1;
    configuration.services.push_back(service);
    return configuration;
}

} // namespace boragestand::model
