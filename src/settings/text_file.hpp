#pragma once

#include "base/base.hpp"

#include <cstddef>
#include <string>

namespace boragestand::settings
{

/// Reads a whole file. Fails with error_kind::not_found if it cannot be read
/// and error_kind::resource_exhausted if it is longer than max_size bytes.
result<std::string> read_text_file(const std::string& path,
                                   std::size_t max_size);

} // namespace boragestand::settings
