#include "placement_design.hpp"

#include "owner_placement.hpp"
#include "table_placement.hpp"

#include <utility>

namespace boragestand::model
{

// A cache per instance and a backup of pins change where packets of existing
// flows go, not where new flows go.
std::unique_ptr<placement_design>
make_placement_design(design_kind kind, event_queue& events,
                      const network_delays& delays,
                      placement_design::reactions reactions)
{
    if (kind == design_kind::table_only || kind == design_kind::table_and_cache)
    {
        return std::make_unique<table_placement>(std::move(reactions));
    }
    return std::make_unique<owner_placement>(events, delays,
                                             std::move(reactions));
}

} // namespace boragestand::model
