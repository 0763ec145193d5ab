#pragma once

#include "coordination/coordination.hpp"

#include <memory>
#include <vector>

namespace boragestand::fleet
{

/// Directory of a control instance as last saved.
struct saved_directory
{
    std::vector<coordination::registered_upstream> upstreams;
    /// A plan that was committed, not necessarily the newest; none before the
    /// first.
    std::optional<state::routing_plan> plan;
    /// Evacuations that were committed, possibly followed by newer orders.
    std::vector<coordination::evacuation_notice> evacuations;

    auto operator<=>(const saved_directory&) const = default;
};

/// Stores upstreams and plan of a control instance on disk, so that after a
/// power failure entry instances can serve before the group elects a leader.
class directory_store
{
public:
    explicit directory_store(std::unique_ptr<state::disk> files)
        : files_(std::move(files))
    {
    }

    /// Reads the saved directory; empty if there is none. Errors as of
    /// state::read_checksummed_file and error_kind::storage_corrupt.
    result<saved_directory> load();

    /// Replaces the saved directory durably.
    result<void> save(const saved_directory& directory);

private:
    std::unique_ptr<state::disk> files_;
};

} // namespace boragestand::fleet
