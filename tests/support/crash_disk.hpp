#pragma once

#include "state/disk.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace boragestand::testing
{

/// Thrown where the simulated process crashes.
struct simulated_crash
{
};

/// An in-memory disk that can crash the process at any write or sync and then
/// lose unsynced data.
class crash_disk : public state::disk
{
public:
    explicit crash_disk(std::uint64_t seed = 1) : random_(seed) {}

    result<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto& [name, file] : files_)
        {
            names.push_back(name);
        }
        return names;
    }

    result<std::string> read(std::string_view name) override
    {
        const auto found = files_.find(name);
        if (found == files_.end())
        {
            return failure(error_kind::not_found, std::string(name));
        }
        return found->second->content;
    }

    result<void> append(std::string_view name, std::string_view bytes) override
    {
        const bool has_room = bytes.size() <= free();
        if (!has_room)
        {
            // Like a file system, takes what fits and refuses the rest.
            bytes = bytes.substr(0, free());
        }
        auto& file = files_[std::string(name)];
        if (!file)
        {
            file = std::make_shared<inode>();
        }
        const bool stop = step();
        const auto kept = stop ? random_.below(bytes.size() + 1) : bytes.size();
        file->content.append(bytes.substr(0, kept));
        stop_if(stop);
        return has_room ? result<void>{}
                        : failure(error_kind::storage_full, std::string(name));
    }

    result<void> truncate(std::string_view name, std::uint64_t size) override
    {
        stop_if(step());
        files_.at(std::string(name))->content.resize(size);
        return {};
    }

    result<void> sync(std::string_view name) override
    {
        stop_if(step());
        auto& file = files_.at(std::string(name));
        file->synced = file->content;
        return {};
    }

    result<void> sync_directory() override
    {
        stop_if(step());
        durable_ = files_;
        return {};
    }

    result<void> rename(std::string_view from, std::string_view to) override
    {
        stop_if(step());
        files_[std::string(to)] = files_.at(std::string(from));
        files_.erase(std::string(from));
        return {};
    }

    result<void> remove(std::string_view name) override
    {
        stop_if(step());
        files_.erase(std::string(name));
        return {};
    }

    result<std::uint64_t> free_bytes() override { return free(); }

    /// Limits the bytes of all files.
    void set_capacity(std::uint64_t bytes) { capacity_ = bytes; }

    /// Bytes of all files.
    std::uint64_t used() const
    {
        std::uint64_t bytes = 0;
        for (const auto& [name, file] : files_)
        {
            bytes += file->content.size();
        }
        return bytes;
    }

    /// Throws simulated_crash at the given write or sync from now on, 0 being
    /// the next one.
    void crash_at(std::uint64_t operation) { stop_at_ = operation; }

    /// Cancels crash_at().
    void cancel_crash() { stop_at_.reset(); }

    /// Restarts after a crash and loses a random part of the unsynced data.
    void lose_unsynced()
    {
        stop_at_.reset();
        if (random_.below(2) == 0)
        {
            files_ = durable_;
        }
        for (auto& [name, file] : files_)
        {
            lose_tail(*file);
        }
        durable_ = files_;
    }

    /// Loses all files.
    void lose_all()
    {
        files_.clear();
        durable_.clear();
        stop_at_.reset();
    }

    /// Changes a file directly, bypassing the code under test.
    void edit(const std::string& name,
              const std::function<void(std::string&)>& change)
    {
        auto& file = files_.at(name);
        change(file->content);
        file->synced = file->content;
    }

    /// Writes and syncs since the start.
    std::uint64_t operations() const { return operations_; }

private:
    struct inode
    {
        std::string content;
        std::string synced;
    };

    std::uint64_t free() const
    {
        const auto taken = used();
        return capacity_ > taken ? capacity_ - taken : 0;
    }

    bool step()
    {
        ++operations_;
        if (!stop_at_)
        {
            return false;
        }
        return (*stop_at_)-- == 0;
    }

    static void stop_if(bool stop)
    {
        if (stop)
        {
            throw simulated_crash{};
        }
    }

    // The new part of the sector that holds this offset was never written.
    static void zero_sector(inode& file, std::size_t offset)
    {
        constexpr std::size_t sector = 512;
        const auto start =
            std::max(file.synced.size(), offset / sector * sector);
        const auto end =
            std::min(file.content.size(), (offset / sector + 1) * sector);
        std::fill(file.content.begin() + static_cast<std::ptrdiff_t>(start),
                  file.content.begin() + static_cast<std::ptrdiff_t>(end),
                  '\0');
    }

    // Keeps a prefix of the tail that was not synced. At times a part of
    // it reads as zeros, as after an interrupted write of several sectors.
    void lose_tail(inode& file)
    {
        if (file.content.size() > file.synced.size())
        {
            const auto tail = file.content.size() - file.synced.size();
            const auto kept = random_.below(tail + 1);
            file.content.resize(file.synced.size() + kept);
            if (kept > 0 && random_.below(4) == 0)
            {
                zero_sector(file, file.synced.size() + random_.below(kept));
            }
        }
        file.synced = file.content;
    }

    random_generator random_;
    std::map<std::string, std::shared_ptr<inode>, std::less<>> files_;
    std::map<std::string, std::shared_ptr<inode>, std::less<>> durable_;
    std::optional<std::uint64_t> stop_at_;
    std::uint64_t operations_{0};
    std::uint64_t capacity_{std::uint64_t{1} << 40U};
};

} // namespace boragestand::testing
