#pragma once

#include "state/state.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragestand::coordination
{

/// Condition of an upstream. At one sequence number a higher value wins.
enum class upstream_condition : std::uint8_t
{
    ready = 0,
    draining = 1, ///< serves its flows, takes no new ones
    lost = 2,     ///< its heartbeats have stopped
    gone = 3      ///< it has left, or another upstream has its address
};

/// Name of a condition for logs.
std::string_view to_text(upstream_condition condition);

/// State of one upstream.
struct registered_upstream
{
    std::uint64_t id{0};
    std::string service;
    transport::endpoint address;
    std::string data_centre;
    std::uint64_t incarnation{0}; ///< start in Unix milliseconds
    std::uint64_t sequence{0};    ///< of its newest heartbeat
    upstream_condition condition{upstream_condition::ready};
    std::uint32_t slots{1}; ///< requests that it runs at once
    /// Remaining warm-up time when the record was received.
    std::uint32_t warmup_left_ms{0};

    auto operator<=>(const registered_upstream&) const = default;
};

/// Extends the lease of an upstream whose record has not changed.
struct upstream_refresh
{
    std::uint64_t id{0};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};

    auto operator<=>(const upstream_refresh&) const = default;
};

/// Effect of a record on the registry.
enum class update_outcome
{
    changed,   ///< new content, to be propagated to other instances
    refreshed, ///< only the lease was extended
    stale      ///< ignored: the registry holds newer state
};

/// Name of an outcome for logs.
std::string_view to_text(update_outcome outcome);

/// Whether a record may take an address over from another upstream that is
/// present. Records of services that no plan names may not.
enum class address_claim : std::uint8_t
{
    may_replace,
    free_only
};

/// Times and limits of a registry.
struct registry_settings
{
    /// An upstream without a heartbeat for this long is lost.
    duration lease{std::chrono::milliseconds(3600)};
    /// expire() is called more often than this. After a longer pause, this
    /// instance was frozen and received no heartbeats, so leases are extended
    /// by the pause.
    duration max_expire_interval{std::chrono::seconds(1)};
    /// A record of an upstream that is gone is kept this long, so that a
    /// delayed heartbeat cannot revive it.
    duration tombstone_lifetime{std::chrono::seconds(120)};
    /// Maximum number of records; further upstreams are refused.
    std::size_t max_records{100000};
};

/// The soft state of all upstreams at one instance: records versioned by
/// incarnation, sequence and condition, which instances exchange in any order
/// and any number of times with the same result.
class upstream_registry
{
public:
    explicit upstream_registry(const registry_settings& settings = {})
        : settings_(settings)
    {
    }

    /// Applies a record received from the upstream or from another instance.
    update_outcome apply(const registered_upstream& record, time_point now,
                         address_claim claim = address_claim::may_replace);

    /// The upstream that holds an address: the one that started last of those
    /// that have announced it; 0 if there is none.
    std::uint64_t holder_of(const transport::endpoint& address) const;

    /// Applies a refresh received from another instance.
    update_outcome apply(const upstream_refresh& refresh, time_point now);

    /// Records that this instance received the upstream's newest heartbeat.
    void record_direct_heartbeat(std::uint64_t id, time_point now);

    /// Marks an upstream as gone. Without an incarnation, the one on record is
    /// meant.
    update_outcome mark_gone(std::uint64_t id,
                             std::optional<std::uint64_t> incarnation,
                             time_point now);

    /// Marks upstreams whose lease has expired as lost and removes expired
    /// tombstones. Returns the upstreams that became lost.
    std::vector<std::uint64_t> expire(time_point now);

    /// Change counter over all records; never decreases.
    std::uint64_t cursor() const { return cursor_; }

    /// Cursor of the last change that took an upstream out of use.
    std::uint64_t leave_cursor() const { return leave_cursor_; }

    /// The cursor of an upstream's last change; 0 if it is not known.
    std::uint64_t last_change(std::uint64_t id) const;

    /// Records that changed after a cursor, with their warm-up as of now, in
    /// the order of their changes; at most limit of them.
    std::vector<registered_upstream> changes_since(
        std::uint64_t cursor, time_point now,
        std::size_t limit = std::numeric_limits<std::size_t>::max()) const;

    /// Upstreams whose heartbeats this instance received itself since a time.
    std::vector<upstream_refresh> heartbeats_since(time_point since) const;

    /// The record of an upstream, or null.
    const registered_upstream* find(std::uint64_t id) const;

    /// Whether an upstream of this data centre is known.
    bool has_data_centre(const std::string& name) const;

    std::size_t size() const { return records_.size(); }

private:
    struct entry
    {
        registered_upstream record;
        /// Condition that the upstream announced last.
        upstream_condition announced_condition{upstream_condition::ready};
        std::uint64_t last_change{0};
        time_point updated_at;
        time_point last_alive; ///< newest heartbeat or refresh
        time_point last_heard; ///< newest heartbeat received here
    };

    void compensate_for_pause(time_point now);
    bool resolve_address_conflict(const registered_upstream& record,
                                  address_claim claim, time_point now);
    void store_change(entry& target, const registered_upstream& record,
                      time_point now);
    void release_address(const registered_upstream& record);

    registry_settings settings_;
    std::map<std::uint64_t, entry> records_;
    std::map<transport::endpoint, std::uint64_t> by_address_;
    std::uint64_t cursor_{0};
    std::uint64_t leave_cursor_{0};
    std::optional<time_point> last_expiry_;
};

} // namespace boragestand::coordination
