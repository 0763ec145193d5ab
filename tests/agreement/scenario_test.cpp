#include "scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

namespace boragestand::testing
{

namespace
{

constexpr std::uint64_t seeds = 10;

std::vector<std::string> scenario_files()
{
    const std::filesystem::path folder =
        BORAGESTAND_SOURCE_DIR "/tests/agreement/scenarios";
    std::vector<std::string> names;
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        names.push_back(file.path().stem().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

scenario load(const std::string& name)
{
    return scenario::load(BORAGESTAND_SOURCE_DIR "/tests/agreement/scenarios/" +
                          name + ".scenario");
}

} // namespace

class agreement_scenario : public ::testing::TestWithParam<std::string>
{
};

// Guards against the failure that the first lines of each file name.
TEST_P(agreement_scenario, holds_with_all_guards)
{
    const auto subject = load(GetParam());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        EXPECT_EQ(subject.run(seed, {}), "");
    }
}

// Guards against a scenario that would not notice a missing guard.
TEST_P(agreement_scenario, fails_without_each_needed_guard)
{
    const auto subject = load(GetParam());
    for (const auto& guard : subject.needed_guards())
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            EXPECT_NE(subject.run(seed, without_guard(guard)), "")
                << "passes without " << guard << ", seed " << seed;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(files, agreement_scenario,
                         ::testing::ValuesIn(scenario_files()),
                         [](const auto& file) { return file.param; });

// Guards against a guard that no scenario needs any more.
TEST(agreement_guards, each_is_needed_by_a_scenario)
{
    std::set<std::string> needed;
    for (const auto& name : scenario_files())
    {
        const auto guards = load(name).needed_guards();
        needed.insert(guards.begin(), guards.end());
    }
    const std::set<std::string> all{"pre-vote",     "check-quorum",
                                    "learner-rule", "sync-before-answer",
                                    "one-change",   "own-term-commit"};
    EXPECT_EQ(needed, all);
}

} // namespace boragestand::testing
