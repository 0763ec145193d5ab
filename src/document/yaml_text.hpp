#pragma once

#include "document/fault_list.hpp"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace boragestand::document
{

/// Parses a string that holds exactly one YAML document. Returns nothing and
/// adds a fault if it is longer than max_size bytes or not valid YAML. Never
/// throws.
std::optional<YAML::Node> parse_yaml(std::string_view text,
                                     std::size_t max_size, fault_list& faults);

/// Position of a node; line and column are 0 if the parser did not record it.
position position_of(const YAML::Node& node);

/// Describes a node for messages: "a mapping", "a list", "nothing" or the
/// quoted text of a scalar, cut if it is long.
std::string describe(const YAML::Node& node);

} // namespace boragestand::document
