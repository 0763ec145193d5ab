#pragma once

#include "simulated_group.hpp"

namespace boragestand::testing
{

/// Disturbs a simulated group at random and checks that it settles. Loses a
/// disk only while all others are in place, as any protocol would lose data
/// otherwise.
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed);

    /// Runs the schedule. Empty on success, else the violation and the steps.
    std::string run();

private:
    void disturb();
    void lose_disk(std::uint32_t instance);
    void admit_lost();
    void add_spare();
    void remove(std::uint32_t instance);
    void cut();
    std::uint32_t any_instance();
    bool all_in_place() const;
    void note(const std::string& step);

    static coordination::agreement_settings settings_for(std::uint64_t seed);

    random_generator random_;
    simulated_group group_;
    std::vector<std::uint32_t> instances_;
    std::uint32_t lost_{0};
    std::uint64_t commands_{0};
    std::string steps_;
};

} // namespace boragestand::testing
