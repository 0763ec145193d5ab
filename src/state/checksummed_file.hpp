#pragma once

#include "state/disk.hpp"

namespace boragestand::state
{

/// Reads a file that replace_checksummed_file() wrote; error_kind::not_found if
/// there is none, error_kind::storage_corrupt with file and offset if its
/// checksum does not fit.
result<std::string> read_checksummed_file(disk& files, std::string_view name);

/// Replaces a small file as a whole: after a crash it has either the old or the
/// new content. Durable when it returns.
result<void> replace_checksummed_file(disk& files, std::string_view name,
                                      std::string_view payload);

/// Suffix of the files that replace_checksummed_file() renames; they may be
/// left over after a crash.
constexpr std::string_view temporary_suffix = ".tmp";

} // namespace boragestand::state
