#include "routing_design.hpp"

#include "router_routing.hpp"
#include "table_routing.hpp"

#include <utility>

namespace boragestand::model
{

std::unique_ptr<routing_design>
make_routing_design(design_kind kind, event_queue& events,
                    const network_delays& delays, std::uint64_t seed,
                    routing_design::delivery deliver)
{
    if (kind == design_kind::table_only || kind == design_kind::table_and_cache)
    {
        return std::make_unique<table_routing>(
            events, seed, kind == design_kind::table_and_cache,
            std::move(deliver));
    }
    return std::make_unique<router_routing>(
        events, delays, seed, kind == design_kind::chosen, std::move(deliver));
}

} // namespace boragestand::model
