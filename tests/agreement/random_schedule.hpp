#pragma once

#include "simulated_group.hpp"

namespace boragestand::testing
{

/// Injects random faults into a simulated group and checks that it recovers.
/// Loses a disk only after every earlier lost disk was replaced, because any
/// protocol would lose data otherwise.
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed);

    /// Runs the schedule. Empty on success, else the violation and the steps.
    std::string run();

private:
    void inject_fault();
    void lose_disk(std::uint32_t instance);
    void admit_lost();
    void add_spare();
    void remove(std::uint32_t instance);
    void cut();
    std::uint32_t any_instance();
    bool all_disks_replaced() const;
    void record_step(const std::string& step);

    static agreement::agreement_settings settings_for(std::uint64_t seed);

    random_generator random_;
    simulated_group group_;
    std::vector<std::uint32_t> instances_;
    std::uint32_t lost_disk_instance_{0};
    std::uint64_t commands_{0};
    std::string steps_;
};

} // namespace boragestand::testing
