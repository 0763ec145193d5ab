#include "state_names.hpp"

namespace boragestand::entry
{

std::string_view name_of(protocol::member_state state)
{
    switch (state)
    {
    case protocol::member_state::alive:
        return "alive";
    case protocol::member_state::suspect:
        return "suspect";
    case protocol::member_state::leaving:
        return "leaving";
    case protocol::member_state::dead:
        return "dead";
    }
    return "unknown";
}

std::string_view name_of(protocol::upstream_state state)
{
    switch (state)
    {
    case protocol::upstream_state::ready:
        return "ready";
    case protocol::upstream_state::draining:
        return "draining";
    case protocol::upstream_state::withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

} // namespace boragestand::entry
