#include "state/file_disk.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <memory>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

namespace boragestand::state
{

namespace
{

tl::unexpected<error> system_failure(const char* call, const std::string& path)
{
    return failure(error_kind::storage_failure,
                   std::string(call) + " of " + path +
                       " failed: " + std::strerror(errno));
}

// For calls that fail before data is accepted. A failed sync stays a storage
// failure: the kernel may then drop data that can still be read back.
tl::unexpected<error> write_failure(const char* call, const std::string& path)
{
    const bool full = errno == ENOSPC || errno == EDQUOT;
    auto fault = system_failure(call, path);
    if (full)
    {
        fault.value().kind = error_kind::storage_full;
    }
    return fault;
}

bool write_all(int fd, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t written = ::write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

// Syncs the parent, so that the entry of a new data directory is durable.
bool sync_parent(const std::string& path)
{
    const auto slash = path.find_last_of('/');
    const std::string parent = slash == std::string::npos ? "."
                               : slash == 0               ? "/"
                                            : path.substr(0, slash);
    const transport::unique_fd fd(
        ::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return fd && ::fsync(fd.value()) == 0;
}

} // namespace

result<std::unique_ptr<file_disk>> file_disk::open(const std::string& path)
{
    if (::mkdir(path.c_str(), 0700) == 0)
    {
        if (!sync_parent(path))
        {
            return system_failure("sync of the parent", path);
        }
    }
    else if (errno != EEXIST)
    {
        return system_failure("mkdir", path);
    }
    transport::unique_fd directory(
        ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!directory)
    {
        return system_failure("open", path);
    }
    if (::flock(directory.value(), LOCK_EX | LOCK_NB) != 0)
    {
        return failure(error_kind::storage_failure,
                       "data directory " + path +
                           " is in use by another process");
    }
    return std::unique_ptr<file_disk>(
        new file_disk(path, std::move(directory)));
}

file_disk::file_disk(std::string path, transport::unique_fd directory)
    : path_(std::move(path)), directory_(std::move(directory))
{
}

std::string file_disk::path_of(std::string_view name) const
{
    return path_ + "/" + std::string(name);
}

result<std::vector<std::string>> file_disk::list()
{
    DIR* stream = ::opendir(path_.c_str());
    if (stream == nullptr)
    {
        return system_failure("opendir", path_);
    }
    const scope_guard close([stream] { ::closedir(stream); });
    std::vector<std::string> names;
    while (const dirent* entry = ::readdir(stream))
    {
        const std::string_view name = entry->d_name;
        if (name != "." && name != "..")
        {
            names.emplace_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

result<std::string> file_disk::read(std::string_view name)
{
    const std::string path = path_of(name);
    const transport::unique_fd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!fd)
    {
        if (errno == ENOENT)
        {
            return failure(error_kind::not_found, path + " does not exist");
        }
        return system_failure("open", path);
    }
    std::string content;
    std::array<char, 65536> buffer{};
    while (true)
    {
        const ssize_t count = ::read(fd.value(), buffer.data(), buffer.size());
        if (count == 0)
        {
            return content;
        }
        if (count < 0 && errno != EINTR)
        {
            return system_failure("read", path);
        }
        if (count > 0)
        {
            content.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
}

result<int> file_disk::open_for_append(const std::string& name)
{
    const auto open_file = open_files_.find(name);
    if (open_file != open_files_.end())
    {
        return open_file->second.value();
    }
    const std::string path = path_of(name);
    transport::unique_fd fd(
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    if (!fd)
    {
        return write_failure("open", path);
    }
    const int value = fd.value();
    open_files_.insert_or_assign(name, std::move(fd));
    return value;
}

result<void> file_disk::append(std::string_view name, std::string_view bytes)
{
    const auto fd = open_for_append(std::string(name));
    if (!fd)
    {
        return tl::unexpected(fd.error());
    }
    if (!write_all(*fd, bytes))
    {
        return write_failure("write", path_of(name));
    }
    return {};
}

result<void> file_disk::truncate(std::string_view name, std::uint64_t size)
{
    const std::string path = path_of(name);
    if (::truncate(path.c_str(), static_cast<off_t>(size)) != 0)
    {
        return system_failure("truncate", path);
    }
    return {};
}

result<void> file_disk::sync(std::string_view name)
{
    const auto fd = open_for_append(std::string(name));
    if (!fd)
    {
        return tl::unexpected(fd.error());
    }
    if (::fsync(*fd) != 0)
    {
        return system_failure("fsync", path_of(name));
    }
    return {};
}

result<void> file_disk::sync_directory()
{
    if (::fsync(directory_.value()) != 0)
    {
        return system_failure("fsync", path_);
    }
    return {};
}

result<void> file_disk::rename(std::string_view from, std::string_view to)
{
    open_files_.erase(std::string(from));
    open_files_.erase(std::string(to));
    if (::rename(path_of(from).c_str(), path_of(to).c_str()) != 0)
    {
        return write_failure("rename", path_of(from));
    }
    return {};
}

result<void> file_disk::remove(std::string_view name)
{
    open_files_.erase(std::string(name));
    if (::unlink(path_of(name).c_str()) != 0 && errno != ENOENT)
    {
        return system_failure("unlink", path_of(name));
    }
    return {};
}

result<std::uint64_t> file_disk::free_bytes()
{
    struct statvfs found
    {
    };
    if (::statvfs(path_.c_str(), &found) != 0)
    {
        return system_failure("statvfs", path_);
    }
    return std::uint64_t{found.f_bavail} * found.f_frsize;
}

} // namespace boragestand::state
