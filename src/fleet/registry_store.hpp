#pragma once

#include "coordination/coordination.hpp"

#include <memory>
#include <vector>

namespace boragestand::fleet
{

/// Keeps the registry of upstreams of a control instance on its disk, so that
/// it knows them at once after a loss of power.
class registry_store
{
public:
    explicit registry_store(std::unique_ptr<state::disk> files)
        : files_(std::move(files))
    {
    }

    /// The saved records, none if nothing was saved. Errors as of
    /// state::read_checked_file and error_kind::storage_corrupt.
    result<std::vector<coordination::registered_upstream>> load();

    /// Replaces the saved records, durably.
    result<void>
    save(const std::vector<coordination::registered_upstream>& records);

private:
    std::unique_ptr<state::disk> files_;
};

} // namespace boragestand::fleet
