#pragma once

#include "state/configuration.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace boragestand::state
{

/// The configuration as JSON for people and tools. Rules, overrides and
/// agreements refer to services by name; times are milliseconds since 1970.
nlohmann::json to_json(const configuration& value);

/// Reads what to_json writes; error_kind::malformed_message otherwise. Never
/// throws.
result<configuration> configuration_from_json(std::string_view text);

} // namespace boragestand::state
