#include "scenario.hpp"

#include "scenario_run.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace boragestand::testing
{

scenario scenario::load(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw std::runtime_error("cannot read " + path);
    }
    scenario result;
    std::string text;
    for (int line = 1; std::getline(file, text); ++line)
    {
        std::istringstream words(text.substr(0, text.find('#')));
        scenario_step step{line, {}};
        for (std::string word; words >> word;)
        {
            step.words.push_back(word);
        }
        if (step.words.empty())
        {
            continue;
        }
        if (step.words.front() == "needs")
        {
            result.guards_.push_back(step.words.at(1));
            continue;
        }
        result.steps_.push_back(std::move(step));
    }
    return result;
}

std::string scenario::run(std::uint64_t seed,
                          const agreement::agreement_faults& faults) const
{
    scenario_run run(seed, faults);
    for (const auto& step : steps_)
    {
        std::string problem;
        try
        {
            problem = run.execute(step.words);
        }
        catch (const std::exception& failed)
        {
            problem = failed.what();
        }
        if (!problem.empty())
        {
            return "line " + std::to_string(step.line) + " seed " +
                   std::to_string(seed) + ": " + problem;
        }
    }
    return {};
}

agreement::agreement_faults without_guard(const std::string& name)
{
    agreement::agreement_faults faults;
    const std::map<std::string, bool*> flags{
        {"pre-vote", &faults.skip_pre_vote},
        {"check-quorum", &faults.skip_check_quorum},
        {"sync-before-answer", &faults.answer_before_sync},
        {"learner-rule", &faults.promote_early},
        {"one-change", &faults.concurrent_changes},
        {"own-term-commit", &faults.commit_earlier_terms},
    };
    *flags.at(name) = true;
    return faults;
}

} // namespace boragestand::testing
