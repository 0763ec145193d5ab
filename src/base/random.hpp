#pragma once

#include "base/hash.hpp"

#include <cstdint>

namespace boragestand
{

/// Deterministic pseudorandom number generator (splitmix64). The seed is passed
/// in, so that runs of decision code are reproducible.
class random_generator
{
public:
    explicit random_generator(std::uint64_t seed) : state_(seed) {}

    /// The next 64 random bits.
    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        return mix_hashes(state_, 0);
    }

    /// A number in [0, bound); bound must not be 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// A number in [0, 1).
    double fraction() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace boragestand
