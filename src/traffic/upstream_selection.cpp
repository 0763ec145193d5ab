#include "traffic/upstream_selection.hpp"

#include <algorithm>
#include <cmath>

namespace boragestand::traffic
{

namespace
{

// A suspect keeps this part of its weight, so that its recovery is noticed.
constexpr double smallest_quality = 0.05;

// Answers that take up to this many times the usual time are not slow: the work
// of requests varies.
constexpr double normal_slowness = 1.5;

// Fewer answers in an aggregate say little about the usual speed of a service.
constexpr double min_answers = 3.0;

// How fast the weight of an upstream falls with its use. Aggregates are one to
// two seconds old: a steeper fall makes all instances send to the same
// upstreams and swing from one aggregate to the next.
constexpr double steepness = 1.0;

// Requests that wait count like those that run, so an upstream with a queue
// seems far busier than it is. More than all slots in use is not told apart.
constexpr double full_use = 1.0;

// Upstreams of other data centres get flows once the own ones are used more
// than this, and more than the others by the margin.
constexpr double spill_use = 0.5;
constexpr double spill_margin = 0.1;
// Beyond the limit by this much, no data centre is preferred any more. A
// smaller range would move so much demand at a time that it swings back.
constexpr double spill_range = 1.0;

// Cold upstreams get more than their share once warm ones are used more.
constexpr double warm_use_limit = 0.8;

// More than this part of a service cannot be set aside as suspect: the rest
// would be overloaded, and a common cause is more likely.
constexpr double max_suspects = 1.0 / 3.0;

// Added to the score of one of two choices.
constexpr double suspect_score = 10.0;
constexpr double avoided_score = 100.0;

/// A candidate with what is known of it.
struct weighted_candidate
{
    std::size_t index{0};
    joined_load load;
    double use{0};     ///< requests in progress for each slot
    double quality{1}; ///< by health and speed
    double share{1};   ///< of its slow start
    double weight{0};
};

double slots_of(const selection_candidate& candidate)
{
    return std::max<std::uint32_t>(candidate.slots, 1);
}

/// The next of a sequence of numbers from 0 to 1.
class hash_sequence
{
public:
    explicit hash_sequence(std::uint64_t seed) : state_(seed) {}

    double next()
    {
        constexpr int unused_bits = 11;
        state_ = mix_hashes(state_, 1);
        return static_cast<double>(state_ >> unused_bits) * 0x1.0p-53;
    }

private:
    std::uint64_t state_;
};

std::optional<selection> select(const select_by_own_flows&,
                                std::span<const selection_candidate> candidates,
                                std::uint64_t flow_hash)
{
    const selection_candidate* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& candidate : candidates)
    {
        // Upstreams that have failed this flow only if there is no other.
        constexpr double avoided_cost = 10000.0;
        const auto cost_of = [](const selection_candidate& each)
        {
            return each.cost + (each.avoided ? avoided_cost : 0.0);
        };
        const auto score = mix_hashes(flow_hash, candidate.id);
        if (best == nullptr || cost_of(candidate) < cost_of(*best) ||
            (cost_of(candidate) == cost_of(*best) && score > best_score))
        {
            best = &candidate;
            best_score = score;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return selection{static_cast<std::size_t>(best - candidates.data()),
                     selection_basis::own_flows, 0, 0, 1};
}

std::vector<weighted_candidate>
assess(const select_by_joined_load& policy,
       std::span<const selection_candidate> candidates)
{
    std::vector<loaded_upstream> upstreams;
    for (const auto& each : candidates)
    {
        upstreams.push_back({each.token, each.slots});
    }
    const double usual_ms =
        usual_service_ms(*policy.load, *policy.pace, upstreams);
    std::vector<weighted_candidate> assessed;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto& candidate = candidates[index];
        weighted_candidate each;
        each.index = index;
        each.load = policy.load->of(candidate.token);
        const double busy =
            std::max<double>(each.load.busy, candidate.in_progress);
        each.use = std::min(busy / slots_of(candidate), full_use);
        each.quality = quality_of(each.load, candidate.slots, usual_ms);
        if (candidate.suspect)
        {
            each.quality = smallest_quality;
        }
        each.share = policy.pace->share(candidate.token);
        assessed.push_back(each);
    }
    return assessed;
}

bool is_suspect(const weighted_candidate& each)
{
    return each.quality < suspect_quality;
}

// If too many are suspects, all of them count at least half.
void limit_suspects(std::vector<weighted_candidate>& assessed)
{
    const auto suspects = static_cast<double>(
        std::count_if(assessed.begin(), assessed.end(), is_suspect));
    if (suspects <= max_suspects * static_cast<double>(assessed.size()))
    {
        return;
    }
    for (auto& each : assessed)
    {
        each.quality = std::max(each.quality, suspect_quality);
    }
}

// Demand must be served although many upstreams are cold at once: once the warm
// ones are used up, the cold ones get what these cannot take.
void limit_slow_start(std::vector<weighted_candidate>& assessed,
                      std::span<const selection_candidate> candidates)
{
    double busy = 0;
    double warm_slots = 0;
    double cold_slots = 0;
    for (const auto& each : assessed)
    {
        const double slots = slots_of(candidates[each.index]);
        busy += each.use * slots;
        (each.share < 1.0 ? cold_slots : warm_slots) += slots;
    }
    if (cold_slots == 0)
    {
        return;
    }
    const double needed = (busy - warm_use_limit * warm_slots) / cold_slots;
    for (auto& each : assessed)
    {
        each.share = std::clamp(std::max(each.share, needed), each.share, 1.0);
    }
}

/// Use of a group of upstreams.
struct group_use
{
    double busy{0};
    double slots{0};

    double use() const { return slots > 0 ? busy / slots : 0; }
};

void add(group_use& group, const weighted_candidate& each,
         const selection_candidate& candidate)
{
    if (!is_suspect(each))
    {
        group.busy += each.use * slots_of(candidate);
        group.slots += slots_of(candidate) * each.share;
    }
}

// The own data centre is preferred, since another one costs time and bytes,
// until it is used more than the others and more than it can serve well.
bool stays_in_data_centre(const std::vector<weighted_candidate>& assessed,
                          std::span<const selection_candidate> candidates,
                          double random)
{
    group_use own;
    group_use others;
    for (const auto& each : assessed)
    {
        const auto& candidate = candidates[each.index];
        add(candidate.remote ? others : own, each, candidate);
    }
    if (own.slots == 0 || others.slots == 0)
    {
        return own.slots > 0;
    }
    const double limit = std::max(spill_use, others.use() + spill_margin);
    const double spilled =
        std::clamp((own.use() - limit) / spill_range, 0.0, 1.0);
    const double others_part = others.slots / (own.slots + others.slots);
    return random >= spilled * others_part;
}

const weighted_candidate* draw(const std::vector<weighted_candidate>& assessed,
                               double total, double random)
{
    double rest = random * total;
    const weighted_candidate* last = nullptr;
    for (const auto& each : assessed)
    {
        if (each.weight <= 0)
        {
            continue;
        }
        last = &each;
        rest -= each.weight;
        if (rest <= 0)
        {
            break;
        }
    }
    return last;
}

// Of two that were drawn, the one that looks better to this instance now. The
// joined load is in their weights already; here it would make all instances
// choose alike.
double score(const selection_candidate& candidate)
{
    return candidate.in_progress / slots_of(candidate) +
           (candidate.suspect ? suspect_score : 0.0) +
           (candidate.avoided ? avoided_score : 0.0);
}

std::optional<selection> select(const select_by_joined_load& policy,
                                std::span<const selection_candidate> candidates,
                                std::uint64_t flow_hash)
{
    auto assessed = assess(policy, candidates);
    limit_suspects(assessed);
    limit_slow_start(assessed, candidates);
    hash_sequence random(flow_hash);
    const bool stays =
        stays_in_data_centre(assessed, candidates, random.next());
    const bool all_avoided =
        std::all_of(candidates.begin(), candidates.end(),
                    [](const auto& each) { return each.avoided; });
    double total = 0;
    for (auto& each : assessed)
    {
        const auto& candidate = candidates[each.index];
        const bool excluded =
            (candidate.avoided && !all_avoided) || (stays && candidate.remote);
        each.weight = excluded
                          ? 0.0
                          : slots_of(candidate) * each.quality * each.share *
                                std::exp(-steepness * each.use);
        total += each.weight;
    }
    if (total <= 0 && stays)
    {
        // All of the own data centre have failed this flow.
        for (auto& each : assessed)
        {
            const auto& candidate = candidates[each.index];
            each.weight = candidate.avoided ? 0.0 : each.quality * each.share;
            total += each.weight;
        }
    }
    const auto* const first = draw(assessed, total, random.next());
    const auto* const second = draw(assessed, total, random.next());
    if (first == nullptr || second == nullptr)
    {
        return std::nullopt;
    }
    const auto* const best =
        score(candidates[second->index]) < score(candidates[first->index])
            ? second
            : first;
    return selection{best->index, selection_basis::joined_load, best->load.busy,
                     best->load.failing, best->share};
}

} // namespace

std::string_view to_text(selection_basis basis)
{
    return basis == selection_basis::own_flows ? "own_flows" : "joined_load";
}

double usual_service_ms(const upstream_load& load, const recovery_pace& pace,
                        std::span<const loaded_upstream> upstreams)
{
    std::vector<double> times;
    for (const auto& [token, slots] : upstreams)
    {
        const auto* const known = load.find(token);
        const bool counts = known != nullptr && known->answers >= min_answers &&
                            !pace.is_recovering(token);
        if (counts)
        {
            times.push_back(service_ms(*known, slots));
        }
    }
    if (times.empty())
    {
        return 0;
    }
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

double quality_of(const joined_load& load, std::uint32_t slots, double usual_ms)
{
    const double answering = 1.0 - load.failing;
    double quality = answering * answering;
    const double own_ms = service_ms(load, slots);
    // A slow upstream gets few requests, so the speed that it showed last
    // counts.
    if (usual_ms > 0 && own_ms > normal_slowness * usual_ms)
    {
        // Squared, since its callers wait longer beside its lower capacity.
        const double speed = normal_slowness * usual_ms / own_ms;
        quality *= speed * speed;
    }
    return std::max(quality, smallest_quality);
}

std::optional<selection>
select_upstream(const selection_policy& policy,
                std::span<const selection_candidate> candidates,
                std::uint64_t flow_hash)
{
    return std::visit([&](const auto& each)
                      { return select(each, candidates, flow_hash); },
                      policy);
}

} // namespace boragestand::traffic
