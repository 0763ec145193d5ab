#pragma once

#include "protocol/protocol.hpp"

#include <string_view>

namespace boragestand::entry
{

/// Names for logs and status, as in the enumerators.
std::string_view name_of(protocol::member_state state);
std::string_view name_of(protocol::upstream_state state);

} // namespace boragestand::entry
