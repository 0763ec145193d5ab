#pragma once

#include "agreement/agreement_core.hpp"
#include "agreement/agreement_snapshots.hpp"

namespace boragestand::agreement
{

/// Receives entries and snapshots from the leader of the current term.
class agreement_receiver
{
public:
    explicit agreement_receiver(agreement_core& core);

    /// Stores entries and answers.
    void handle(const protocol::agreement_envelope& envelope,
                const protocol::append_request& request);

    /// Stores a part of a snapshot and answers.
    void handle(const protocol::agreement_envelope& envelope,
                const protocol::snapshot_chunk& chunk);

private:
    protocol::append_reply
    store_entries(const protocol::append_request& request);
    std::uint64_t conflict_hint(std::uint64_t previous) const;
    void install_snapshot(protocol::agreement_snapshot snapshot);

    agreement_core& core_;
    snapshot_receiver incoming_snapshot_;
};

} // namespace boragestand::agreement
