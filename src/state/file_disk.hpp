#pragma once

#include "state/disk.hpp"
#include "transport/unique_fd.hpp"

#include <map>
#include <memory>

namespace boragestand::state
{

/// Files of a directory of the local file system. Holds an exclusive lock on
/// the directory, so that two processes cannot share it.
class file_disk : public disk
{
public:
    /// Opens the directory and creates it, but not its parents, if needed;
    /// error_kind::storage_failure if that fails or another process uses it.
    static result<std::unique_ptr<file_disk>> open(const std::string& path);

    result<std::vector<std::string>> list() override;
    result<std::string> read(std::string_view name) override;
    result<void> append(std::string_view name, std::string_view bytes) override;
    result<void> truncate(std::string_view name, std::uint64_t size) override;
    result<void> sync(std::string_view name) override;
    result<void> sync_directory() override;
    result<void> rename(std::string_view from, std::string_view to) override;
    result<void> remove(std::string_view name) override;
    result<std::uint64_t> free_bytes() override;

private:
    file_disk(std::string path, transport::unique_fd directory);

    result<int> open_for_append(const std::string& name);
    std::string path_of(std::string_view name) const;

    std::string path_;
    transport::unique_fd directory_;
    std::map<std::string, transport::unique_fd, std::less<>> open_files_;
};

} // namespace boragestand::state
