#include "coordination/placement.hpp"

#include "coordination/traffic_policy.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace boragestand::coordination
{

namespace
{

// Makes the second choice independent of the default.
constexpr std::uint64_t second_choice_salt = 0x51ed270b7a14d2c3ULL;

bool accepts_connection(const placement_candidate& candidate)
{
    return candidate.load.open < candidate.connections;
}

bool has_free_slot(const placement_candidate& candidate)
{
    return accepts_connection(candidate) &&
           candidate.load.running < candidate.flow_limit;
}

bool is_full_of_long_work(const placement_candidate& candidate)
{
    return candidate.load.long_work >= candidate.slots;
}

bool leaves_slot_to_short(const placement_candidate& candidate)
{
    return candidate.load.long_work + 1 < candidate.slots;
}

// Whether the service can run one more long flow and still keep slots for short
// work.
bool long_work_fits(std::span<const placement_candidate> candidates)
{
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t long_work = 0;
    for (const placement_candidate& candidate : candidates)
    {
        slots += candidate.slots;
        running += candidate.load.running;
        long_work += candidate.load.long_work;
    }
    const std::uint32_t short_work = running - std::min(running, long_work);
    const std::uint32_t reserve = std::min(slots / 2, 2 * short_work);
    return long_work + reserve < slots;
}

// Sort key, smaller is better: the share of occupied slots, then the default,
// then a hash per flow, so that owners do not all pick the same upstream.
auto rank(const placement_candidate& candidate, upstream_id default_choice,
          const placement_request& request)
{
    const auto taken =
        request.is_long ? candidate.load.long_work : candidate.load.running;
    const double share =
        static_cast<double>(taken) / std::max(1u, candidate.slots);
    return std::tuple(share, candidate.upstream != default_choice,
                      mix_hashes(request.flow_hash, candidate.upstream.value));
}

template <typename Predicate>
const placement_candidate*
best_of(std::span<const placement_candidate> candidates,
        upstream_id default_choice, const placement_request& request,
        Predicate eligible)
{
    const placement_candidate* best = nullptr;
    for (const placement_candidate& candidate : candidates)
    {
        if (!eligible(candidate))
        {
            continue;
        }
        if (best == nullptr || rank(candidate, default_choice, request) <
                                   rank(*best, default_choice, request))
        {
            best = &candidate;
        }
    }
    return best;
}

// The half of the upstreams that long work fills first. Owners learn of each
// other's long work up to one report interval late, so all of them use the same
// half, and short work avoids its upstreams that one more long flow would fill.
class long_work_zone
{
public:
    explicit long_work_zone(std::span<const placement_candidate> candidates)
        : end_(candidates.data() + candidates.size() / 2)
        , has_long_work_(std::any_of(candidates.begin(), candidates.end(),
                                     [](const placement_candidate& candidate)
                                     { return candidate.load.long_work > 0; }))
    {
    }

    bool contains(const placement_candidate& candidate) const
    {
        return &candidate < end_;
    }

    bool risks_blocking_short(const placement_candidate& candidate) const
    {
        return has_long_work_ && contains(candidate) &&
               !leaves_slot_to_short(candidate);
    }

private:
    const placement_candidate* end_;
    bool has_long_work_;
};

const placement_candidate*
choose_for_short(std::span<const placement_candidate> candidates,
                 upstream_id default_choice, const placement_request& request)
{
    const long_work_zone zone(candidates);
    const auto starts = [](const placement_candidate& candidate)
    {
        return has_free_slot(candidate) && !is_full_of_long_work(candidate);
    };
    const auto safe = [&](const placement_candidate& candidate)
    {
        return starts(candidate) && !zone.risks_blocking_short(candidate);
    };
    const auto* best = best_of(candidates, default_choice, request, safe);
    return best != nullptr
               ? best
               : best_of(candidates, default_choice, request, starts);
}

const placement_candidate*
choose_for_long(std::span<const placement_candidate> candidates,
                upstream_id default_choice, const placement_request& request)
{
    const long_work_zone zone(candidates);
    const auto spares_short = [&zone](const placement_candidate& candidate)
    {
        return has_free_slot(candidate) && leaves_slot_to_short(candidate) &&
               (candidate.reserved || zone.contains(candidate));
    };
    const auto in_zone = [&zone](const placement_candidate& candidate)
    {
        return has_free_slot(candidate) && zone.contains(candidate);
    };
    const auto* best =
        best_of(candidates, default_choice, request, spares_short);
    if (best == nullptr)
    {
        best = best_of(candidates, default_choice, request, in_zone);
    }
    if (best != nullptr || !long_work_fits(candidates))
    {
        return best;
    }
    return best_of(candidates, default_choice, request, has_free_slot);
}

std::optional<placement_choice>
place_by_free_slots(std::span<const placement_candidate> candidates,
                    upstream_id default_choice,
                    const placement_request& request)
{
    const auto* best =
        request.is_long ? choose_for_long(candidates, default_choice, request)
                        : choose_for_short(candidates, default_choice, request);
    if (best == nullptr)
    {
        return std::nullopt;
    }
    if (best->upstream == default_choice)
    {
        return placement_choice{default_choice,
                                placement_reason::default_choice};
    }
    const auto preferred =
        std::find_if(candidates.begin(), candidates.end(),
                     [default_choice](const placement_candidate& candidate)
                     { return candidate.upstream == default_choice; });
    const bool avoids_long = !request.is_long &&
                             preferred != candidates.end() &&
                             preferred->load.long_work > best->load.long_work;
    return placement_choice{best->upstream,
                            avoids_long ? placement_reason::short_first
                                        : placement_reason::less_loaded};
}

double flows_by_weight(const placement_candidate& candidate)
{
    return static_cast<double>(candidate.load.open) /
           std::max<double>(1.0, candidate.weight);
}

const placement_candidate* find(std::span<const placement_candidate> candidates,
                                upstream_id upstream)
{
    const auto found =
        std::find_if(candidates.begin(), candidates.end(),
                     [upstream](const placement_candidate& candidate)
                     { return candidate.upstream == upstream; });
    return found == candidates.end() ? nullptr : &*found;
}

// Power of two choices: the second upstream is chosen by hash. All owners would
// overload the least loaded one at the same time.
const placement_candidate*
second_choice(std::span<const placement_candidate> candidates,
              std::uint64_t flow_hash)
{
    std::vector<protocol::settled_upstream> set;
    set.reserve(candidates.size());
    for (const placement_candidate& candidate : candidates)
    {
        set.push_back({candidate.upstream, candidate.weight});
    }
    const auto chosen =
        rendezvous_choice(set, mix_hashes(flow_hash, second_choice_salt));
    return chosen ? find(candidates, *chosen) : nullptr;
}

bool is_overloaded(std::span<const placement_candidate> candidates,
                   const placement_candidate& preferred,
                   unsigned imbalance_percent)
{
    double open = 0;
    double weight = 0;
    for (const placement_candidate& candidate : candidates)
    {
        open += candidate.load.open;
        weight += std::max<double>(1.0, candidate.weight);
    }
    return flows_by_weight(preferred) * 100 > open / weight * imbalance_percent;
}

std::optional<placement_choice>
place_by_open_flows(std::span<const placement_candidate> candidates,
                    upstream_id default_choice,
                    const placement_request& request)
{
    const auto* preferred = find(candidates, default_choice);
    if (preferred != nullptr && accepts_connection(*preferred) &&
        !is_overloaded(candidates, *preferred, request.imbalance_percent))
    {
        return placement_choice{default_choice,
                                placement_reason::default_choice};
    }
    const auto* other = second_choice(candidates, request.flow_hash);
    if (preferred != nullptr && accepts_connection(*preferred) &&
        (other == nullptr || !accepts_connection(*other) ||
         flows_by_weight(*other) >= flows_by_weight(*preferred)))
    {
        return placement_choice{default_choice,
                                placement_reason::default_choice};
    }
    if (other == nullptr || !accepts_connection(*other))
    {
        other =
            best_of(candidates, default_choice, request, accepts_connection);
    }
    if (other == nullptr)
    {
        return std::nullopt;
    }
    return placement_choice{other->upstream, placement_reason::less_loaded};
}

} // namespace

std::optional<placement_choice>
choose_upstream(std::span<const placement_candidate> candidates,
                upstream_id default_choice, const placement_request& request)
{
    if (!request.may_deviate)
    {
        return placement_choice{default_choice,
                                placement_reason::default_choice};
    }
    return request.slots_limit_flows
               ? place_by_free_slots(candidates, default_choice, request)
               : place_by_open_flows(candidates, default_choice, request);
}

} // namespace boragestand::coordination
