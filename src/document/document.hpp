#pragma once

/// Public header of the document library: checked reading of YAML documents
/// that people write, with every fault and its position.

#include "document/fault.hpp"
#include "document/fault_list.hpp"
#include "document/mapping_reader.hpp"
#include "document/yaml_text.hpp"
