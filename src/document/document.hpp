#pragma once

/// Public header of the document library: reads and validates YAML documents
/// written by people and reports every fault with its position.

#include "document/fault.hpp"
#include "document/fault_list.hpp"
#include "document/mapping_reader.hpp"
#include "document/yaml_text.hpp"
