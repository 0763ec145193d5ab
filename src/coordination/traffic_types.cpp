#include "coordination/traffic_types.hpp"

namespace boragestand::coordination
{

std::string_view name_of(placement_reason reason)
{
    switch (reason)
    {
    case placement_reason::existing_flow:
        return "existing_flow";
    case placement_reason::default_choice:
        return "default_choice";
    case placement_reason::less_loaded:
        return "less_loaded";
    case placement_reason::short_first:
        return "short_first";
    case placement_reason::pin:
        return "pin";
    case placement_reason::settled_default:
        return "settled_default";
    case placement_reason::placed_again:
        return "placed_again";
    }
    return "unknown";
}

std::string_view name_of(drop_reason reason)
{
    switch (reason)
    {
    case drop_reason::malformed:
        return "malformed";
    case drop_reason::unknown_service:
        return "unknown_service";
    case drop_reason::no_upstream:
        return "no_upstream";
    case drop_reason::hold_queue_full:
        return "hold_queue_full";
    case drop_reason::hold_expired:
        return "hold_expired";
    case drop_reason::too_many_hops:
        return "too_many_hops";
    case drop_reason::unknown_flow:
        return "unknown_flow";
    case drop_reason::upstream_gone:
        return "upstream_gone";
    case drop_reason::awaiting_backup:
        return "awaiting_backup";
    case drop_reason::view_not_fresh:
        return "view_not_fresh";
    case drop_reason::already_held:
        return "already_held";
    case drop_reason::cancelled:
        return "cancelled";
    case drop_reason::table_full:
        return "table_full";
    }
    return "unknown";
}

} // namespace boragestand::coordination
