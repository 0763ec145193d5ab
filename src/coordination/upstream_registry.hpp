#pragma once

#include "state/state.hpp"

#include <compare>
#include <cstdint>
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

/// What is known of one upstream.
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
    /// How much longer it is slow after its start, when this was learnt.
    std::uint32_t warmup_left_ms{0};

    auto operator<=>(const registered_upstream&) const = default;
};

/// Shows that an upstream is alive without a change of its record.
struct upstream_refresh
{
    std::uint64_t id{0};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};

    auto operator<=>(const upstream_refresh&) const = default;
};

/// What a registry did with a record.
enum class registration
{
    changed,   ///< it tells something new that others must learn
    refreshed, ///< it shows that the upstream is alive
    stale      ///< what is known is newer
};

/// Name of a registration for logs.
std::string_view to_text(registration outcome);

/// Times of a registry.
struct registry_settings
{
    /// An upstream without a heartbeat for this long is lost.
    duration lease{std::chrono::milliseconds(3600)};
    /// expire() is called more often than this. A longer pause means that this
    /// instance was frozen and heard nobody, which counts against no upstream.
    duration longest_pause{std::chrono::seconds(1)};
    /// A record of an upstream that is gone is kept this long, so that a late
    /// heartbeat cannot bring it back.
    duration tombstone{std::chrono::seconds(120)};
    /// Records at most; further upstreams are turned away.
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

    /// Takes a record from an upstream itself or from another instance.
    registration apply(const registered_upstream& record, time_point now);

    /// Takes a sign of life that another instance has heard.
    registration apply(const upstream_refresh& refresh, time_point now);

    /// Notes that the newest heartbeat of an upstream came to this instance.
    void note_heard(std::uint64_t id, time_point now);

    /// Notes that the upstream leaves; without an incarnation this is about the
    /// one that is known.
    registration leave(std::uint64_t id,
                       std::optional<std::uint64_t> incarnation,
                       time_point now);

    /// Marks upstreams whose lease has ended as lost and drops old tombstones.
    /// Returns the upstreams that are newly lost.
    std::vector<std::uint64_t> expire(time_point now);

    /// Counts every change of any record; never decreases.
    std::uint64_t cursor() const { return cursor_; }

    /// The cursor of an upstream's last change; 0 if it is not known.
    std::uint64_t changed_at(std::uint64_t id) const;

    /// Records that changed after a cursor, with their warm-up as of now.
    std::vector<registered_upstream> changes_since(std::uint64_t cursor,
                                                   time_point now) const;

    /// Upstreams whose heartbeats this instance heard itself since a time.
    std::vector<upstream_refresh> heard_since(time_point since) const;

    /// The record of an upstream, or null.
    const registered_upstream* find(std::uint64_t id) const;

    std::size_t size() const { return records_.size(); }

private:
    struct entry
    {
        registered_upstream record;
        /// Condition that the upstream itself announced last.
        upstream_condition announced{upstream_condition::ready};
        std::uint64_t changed_at{0};
        time_point learnt;
        time_point alive; ///< newest sign of life
        time_point heard; ///< newest heartbeat received here
    };

    void forgive_pause(time_point now);
    bool loses_address(const registered_upstream& record, time_point now);
    void change(entry& target, const registered_upstream& record,
                time_point now);

    registry_settings settings_;
    std::map<std::uint64_t, entry> records_;
    std::map<transport::endpoint, std::uint64_t> by_address_;
    std::uint64_t cursor_{0};
    std::optional<time_point> expired_at_;
};

} // namespace boragestand::coordination
