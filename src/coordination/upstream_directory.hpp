#pragma once

#include "state/state.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace boragestand::coordination
{

/// Steps in which the weight of a new upstream grows to its full value. Each
/// step changes the active set, and with it the default of some flows.
constexpr unsigned warmup_steps = 4;

/// How long the address of an upstream stays known after its lease has ended.
constexpr duration address_retention = std::chrono::minutes(5);

/// An upstream that may take new flows as far as its record tells.
struct ready_upstream
{
    const protocol::upstream_record* record{nullptr};
    std::uint16_t weight{0}; ///< in force, after override and warm-up

    auto operator<=>(const ready_upstream&) const = default;
};

/// Announced upstreams of one service: newest record, lease, drain, warm-up
/// and the overrides of operators.
class upstream_directory
{
public:
    /// Takes a record; returns whether it was newer than the known one. A newer
    /// one renews the lease.
    bool apply(const protocol::upstream_record& record, time_point now);

    /// Replaces the overrides of the service.
    void apply(std::vector<state::upstream_override> overrides);

    /// Upstreams whose lease is valid and that neither drain nor have weight 0,
    /// sorted by identity. Pointers are valid until the next change.
    std::vector<ready_upstream> ready(time_point now) const;

    /// The first time after now at which ready() changes without an event:
    /// the end of a lease or a step of a warm-up.
    time_point next_change(time_point now) const;

    /// The newest record, whether its lease is valid or not, or null.
    const protocol::upstream_record* find(upstream_id upstream) const;

    /// Records with a valid lease.
    std::vector<protocol::upstream_record> records(time_point now) const;

    /// Forgets upstreams whose lease ended longer than address_retention ago.
    void forget_old(time_point now);

private:
    struct entry
    {
        protocol::upstream_record record;
        time_point lease_end;
        time_point warmup_start;
    };

    const state::upstream_override* override_of(const std::string& name) const;
    std::uint16_t weight_of(const entry& known, time_point now) const;
    static time_point next_warmup_step(const entry& known, time_point now);

    std::map<upstream_id, entry> entries_;
    std::vector<state::upstream_override> overrides_;
};

} // namespace boragestand::coordination
