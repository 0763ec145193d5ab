#include "random_schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

namespace boragestand::testing
{

namespace
{

// Schedules of one run; BORAGESTAND_SCHEDULES=200000 for a long one. The seed
// comes from RC_PARAMS, for example RC_PARAMS="seed=7".
std::uint64_t wanted_schedules()
{
    constexpr std::uint64_t in_ci = 10000;
    const char* text = std::getenv("BORAGESTAND_SCHEDULES");
    return text == nullptr ? in_ci : std::strtoull(text, nullptr, 10);
}

// RapidCheck runs a property a hundred times.
constexpr std::uint64_t batches = 100;

} // namespace

// Guards against two leaders of one term, logs that differ below a common
// entry, a leader without a committed entry, applied commands that revert,
// acknowledged commands that are lost, and a group that does not recover.
RC_GTEST_PROP(agreement_properties, hold_over_random_schedules, ())
{
    const auto first = *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    const auto count = wanted_schedules() / batches;
    for (std::uint64_t number = 0; number < count; ++number)
    {
        const auto seed = first + number;
        const auto problem = random_schedule(seed).run();
        if (!problem.empty())
        {
            RC_FAIL("schedule " + std::to_string(seed) + ": " + problem);
        }
    }
}

} // namespace boragestand::testing
