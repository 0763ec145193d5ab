#include "placement_design.hpp"

#include "owner_placement.hpp"
#include "table_placement.hpp"

#include <utility>

namespace boragestand::model
{

// A cache per instance and pins at a backup affect only packets of existing
// flows, so designs that differ only in them place new flows alike.
std::unique_ptr<placement_design>
make_placement_design(design_kind kind, event_queue& events,
                      const network_delays& delays,
                      placement_design::callbacks actions)
{
    if (kind == design_kind::table_only || kind == design_kind::table_and_cache)
    {
        return std::make_unique<table_placement>(std::move(actions));
    }
    return std::make_unique<owner_placement>(events, delays,
                                             std::move(actions));
}

} // namespace boragestand::model
