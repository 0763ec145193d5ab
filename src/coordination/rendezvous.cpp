#include "coordination/traffic_policy.hpp"

#include <cmath>

namespace boragestand::coordination
{

namespace
{

struct scored
{
    protocol::settled_upstream candidate;
    std::uint64_t hash{0};
};

scored score(const protocol::settled_upstream& candidate,
             std::uint64_t flow_hash)
{
    return {candidate, mix_hashes(flow_hash, candidate.upstream.value)};
}

double weighted(const scored& value)
{
    // The half keeps the logarithm finite for a hash of 0.
    const double fraction =
        (static_cast<double>(value.hash >> 11) + 0.5) * 0x1.0p-53;
    return -static_cast<double>(value.candidate.weight) / std::log(fraction);
}

// Equal weights, the usual case, need no logarithm: the score grows with the
// hash.
bool precedes(const scored& left, const scored& right)
{
    if (left.candidate.weight == right.candidate.weight)
    {
        return left.hash > right.hash;
    }
    return weighted(left) > weighted(right);
}

} // namespace

std::optional<upstream_id>
rendezvous_choice(std::span<const protocol::settled_upstream> upstreams,
                  std::uint64_t flow_hash)
{
    std::optional<scored> best;
    for (const auto& candidate : upstreams)
    {
        if (candidate.weight == 0)
        {
            continue;
        }
        const scored next = score(candidate, flow_hash);
        if (!best || precedes(next, *best))
        {
            best = next;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    return best->candidate.upstream;
}

} // namespace boragestand::coordination
