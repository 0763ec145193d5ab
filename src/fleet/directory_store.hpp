#pragma once

#include "coordination/coordination.hpp"

#include <memory>
#include <vector>

namespace boragestand::fleet
{

/// What a control instance knew when it saved its directory last.
struct saved_directory
{
    std::vector<coordination::registered_upstream> upstreams;
    /// A plan that was committed, not necessarily the newest; none before the
    /// first.
    std::optional<state::routing_plan> plan;

    auto operator<=>(const saved_directory&) const = default;
};

/// Keeps upstreams and plan of a control instance on its disk, so that entry
/// instances can serve after a loss of power before the group has a leader.
class directory_store
{
public:
    explicit directory_store(std::unique_ptr<state::disk> files)
        : files_(std::move(files))
    {
    }

    /// What was saved, empty if nothing was. Errors as of
    /// state::read_checksummed_file and error_kind::storage_corrupt.
    result<saved_directory> load();

    /// Replaces what was saved, durably.
    result<void> save(const saved_directory& directory);

private:
    std::unique_ptr<state::disk> files_;
};

} // namespace boragestand::fleet
