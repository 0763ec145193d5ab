#pragma once

#include "protocol/protocol.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace boragestand::state
{

/// Pins (the upstream recorded for a flow) that this instance stores as a
/// backup for other instances. Pins of a failed sender become orphans, which
/// stay until they are used to adopt their flow or until they expire.
class pin_table
{
public:
    /// capacity bounds the pins of all senders together.
    explicit pin_table(std::size_t capacity) : capacity_(capacity) {}

    /// Applies a batch. A batch that was applied before is skipped, so a
    /// delayed copy cannot restore a removed pin. Returns whether the batch may
    /// be acknowledged.
    bool apply(instance_id sender, std::uint64_t incarnation,
               const protocol::pin_batch& batch, time_point now);

    /// Stores a pin as if the sender had sent it.
    void insert(instance_id sender, const protocol::flow_pin& pin,
                time_point now);

    /// The newest pin of a flow from any sender.
    std::optional<upstream_id> find(std::uint64_t flow_hash,
                                    service_id service) const;

    /// Removes all pins of a flow.
    void erase(std::uint64_t flow_hash);

    /// Makes the pins of a failed sender orphans, which expire at this time.
    void mark_orphaned(instance_id sender, time_point expiry);

    /// Removes expired orphans; cheap if there are none.
    void expire(time_point now);

    /// Number of pins.
    std::size_t size() const { return size_; }

private:
    struct stored_pin
    {
        service_id service;
        upstream_id upstream;
        time_point received;
    };
    using pin_map = std::unordered_map<std::uint64_t, stored_pin>;

    struct sender_pins
    {
        std::uint64_t incarnation{0};
        std::uint32_t applied_below{1};  ///< all earlier batches were applied
        std::set<std::uint32_t> applied; ///< later batches that were applied
        pin_map pins;
    };

    bool accept_incarnation(instance_id sender, std::uint64_t incarnation,
                            time_point now);
    static bool mark_applied(sender_pins& sender, std::uint32_t sequence);
    void erase_from(pin_map& pins, std::uint64_t flow_hash);
    void erase_orphans(std::uint64_t flow_hash);

    std::size_t capacity_;
    std::size_t size_{0};
    std::map<instance_id, sender_pins> senders_;
    std::multimap<time_point, pin_map> orphans_; ///< by expiry
};

} // namespace boragestand::state
