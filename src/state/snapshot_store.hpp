#pragma once

#include "protocol/agreement_messages.hpp"
#include "state/disk.hpp"

#include <optional>

namespace boragestand::state
{

/// Stores the newest snapshot of the state machine, one checksummed file each.
/// The previous file is removed once the new one is durable.
class snapshot_store
{
public:
    explicit snapshot_store(disk& files);

    /// The newest snapshot, none if nothing was saved yet. Removes the
    /// remains of an interrupted save(). error_kind::storage_corrupt, with file
    /// and offset, if the newest one is damaged.
    result<std::optional<protocol::agreement_snapshot>> load();

    /// Makes a snapshot durable.
    result<void> save(const protocol::agreement_snapshot& snapshot);

private:
    result<std::vector<std::string>> list_snapshot_files();
    result<void> remove_all_but(const std::string& kept_name);

    disk& files_;
};

} // namespace boragestand::state
