#pragma once

#include "simulated_group.hpp"

#include <memory>

namespace boragestand::testing
{

/// The state of one run of a scenario.
class scenario_run
{
public:
    scenario_run(std::uint64_t seed, const agreement::agreement_faults& faults);

    /// Carries out one step. Empty on success, else what was wrong.
    std::string execute(const std::vector<std::string>& words);

private:
    using word_list = std::vector<std::string>;

    std::string dispatch(const word_list& words);
    std::string control(const word_list& words);
    std::string submit(const word_list& words);
    std::string inject_fault(const word_list& words);
    std::string set(const word_list& words);
    std::string expect(const word_list& words);
    std::string expect_replica(const word_list& words);
    std::string expect_answer(const word_list& words);
    std::string wait_until(const word_list& words);
    std::string elect(const std::string& word, bool required);
    bool all_hold(const word_list& words, std::size_t first_instance,
                  const std::string& command);
    void store_token(const std::string& name, std::uint64_t token);

    std::uint32_t instance(const std::string& word);
    simulated_replica& replica(const std::string& word);
    simulated_group& group();

    std::uint64_t seed_;
    agreement::agreement_settings settings_;
    network_conditions conditions_;
    std::unique_ptr<simulated_group> group_;
    std::map<std::string, std::uint64_t> tokens_;
    std::uint64_t marked_term_{0};
};

} // namespace boragestand::testing
