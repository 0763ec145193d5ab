#pragma once

#include "base/base.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace boragestand::state
{

/// The files of one data directory. Durable storage accesses the disk only
/// through this interface, so that a test can stop at each write and sync and
/// lose what was not synced. Names are plain file names within the directory.
/// Unless stated otherwise, failures are error_kind::storage_failure, or
/// error_kind::storage_full if a write or a new file found no room.
class disk
{
public:
    virtual ~disk() = default;

    /// Names of all files, sorted.
    virtual result<std::vector<std::string>> list() = 0;

    /// Whole content of a file; error_kind::not_found if there is none.
    virtual result<std::string> read(std::string_view name) = 0;

    /// Appends to a file and creates it if needed. Not durable before sync(),
    /// and for a new file sync_directory().
    virtual result<void> append(std::string_view name,
                                std::string_view bytes) = 0;

    /// Shortens a file to a size in bytes.
    virtual result<void> truncate(std::string_view name,
                                  std::uint64_t size) = 0;

    /// Makes the content of a file durable.
    virtual result<void> sync(std::string_view name) = 0;

    /// Makes creations, renames and removals durable.
    virtual result<void> sync_directory() = 0;

    /// Renames a file and replaces an existing one of the new name.
    virtual result<void> rename(std::string_view from, std::string_view to) = 0;

    /// Removes a file; no error if there is none.
    virtual result<void> remove(std::string_view name) = 0;

    /// Bytes that can still be written.
    virtual result<std::uint64_t> free_bytes() = 0;
};

} // namespace boragestand::state
