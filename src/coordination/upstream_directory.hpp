#pragma once

#include "state/state.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace boragestand::coordination
{

/// Steps in which the weight of a new upstream grows to its full value. Few,
/// since each step changes the active set and the default of some flows.
constexpr unsigned warmup_steps = 4;

/// Time for which an address is kept after the lease of its upstream ended.
constexpr duration address_retention = std::chrono::minutes(5);

/// An upstream that may receive new flows according to its record.
struct ready_upstream
{
    const protocol::upstream_record* record{nullptr};
    std::uint16_t weight{0}; ///< effective, after override and warm-up

    auto operator<=>(const ready_upstream&) const = default;
};

/// Announced upstreams of one service: newest record, lease, drain, warm-up
/// and the overrides of operators.
class upstream_directory
{
public:
    /// Applies a record; returns whether it was newer than the known one. A
    /// newer one renews the lease.
    bool apply(const protocol::upstream_record& record, time_point now);

    /// Replaces the overrides of the service.
    void apply(std::vector<state::upstream_override> overrides);

    /// Upstreams with a valid lease that are not draining and have a weight
    /// above 0, sorted by identity. Pointers are valid until the next change.
    std::vector<ready_upstream> ready(time_point now) const;

    /// The next time at which ready() changes without an update: the end of a
    /// lease or a warm-up step.
    time_point next_change(time_point now) const;

    /// The newest record, whether its lease is valid or not, or null.
    const protocol::upstream_record* find(upstream_id upstream) const;

    /// Records with a valid lease.
    std::vector<protocol::upstream_record> records(time_point now) const;

    /// Removes upstreams whose lease ended longer than address_retention ago.
    void forget_old(time_point now);

private:
    struct entry
    {
        protocol::upstream_record record;
        time_point lease_end;
        time_point warmup_start;
    };

    const state::upstream_override* override_of(const std::string& name) const;
    std::uint16_t weight_of(const entry& stored, time_point now) const;
    static time_point next_warmup_step(const entry& stored, time_point now);

    std::map<upstream_id, entry> entries_;
    std::vector<state::upstream_override> overrides_;
};

} // namespace boragestand::coordination
