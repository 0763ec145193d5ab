#include "random_schedule.hpp"

namespace boragestand::testing
{

namespace
{

using std::chrono::milliseconds;

constexpr int steps_per_schedule = 40;
constexpr std::uint32_t spare_instance = 9;

} // namespace

random_schedule::random_schedule(std::uint64_t seed)
    : random_(seed), group_(random_.next(), settings_for(seed))
{
    const std::uint32_t size = random_.below(3) == 0 ? 5 : 3;
    for (std::uint32_t instance = 1; instance <= size; ++instance)
    {
        instances_.push_back(instance);
    }
    group_.found(instances_);
    group_.spawn(spare_instance);
    group_.set_conditions({random_.fraction() * 0.2, random_.fraction() * 0.2,
                           milliseconds(1), milliseconds(40)});
}

agreement::agreement_settings random_schedule::settings_for(std::uint64_t seed)
{
    agreement::agreement_settings settings;
    settings.snapshot_interval = seed % 2 == 0 ? 6 : 25;
    settings.chunk_size = 100;
    settings.max_append_entries = 1 + seed % 3;
    return settings;
}

std::string random_schedule::run()
{
    for (int step = 0; step < steps_per_schedule; ++step)
    {
        inject_fault();
        group_.run(milliseconds(random_.below(250)));
        if (!group_.violation().empty())
        {
            break;
        }
    }
    const auto problem = group_.settle();
    return problem.empty() ? problem : problem + "\n" + steps_;
}

void random_schedule::record_step(const std::string& step)
{
    steps_ += step + "\n";
}

std::uint32_t random_schedule::any_instance()
{
    return instances_[random_.below(instances_.size())];
}

void random_schedule::inject_fault()
{
    const auto instance = any_instance();
    const auto name = std::to_string(instance);
    switch (random_.below(16))
    {
    case 0:
        record_step("kill " + name);
        group_.at(instance).kill();
        return;
    case 1:
    case 2:
        record_step("restart " + name);
        group_.restart(instance);
        return;
    case 3:
    {
        const auto at = random_.below(8);
        record_step("kill " + name + " at write " + std::to_string(at));
        group_.at(instance).disk().crash_at(at);
        return;
    }
    case 4:
        return cut();
    case 5:
        record_step("heal");
        group_.heal();
        return;
    case 6:
        record_step("freeze " + name);
        group_.freeze(instance);
        return;
    case 7:
        record_step("thaw " + name);
        group_.thaw(instance);
        return;
    case 8:
        record_step("hand over " + name);
        group_.hand_over(instance);
        return;
    case 9:
        return lose_disk(instance);
    case 10:
        return admit_lost();
    case 11:
        return add_spare();
    case 12:
        return remove(instance);
    default:
        record_step("propose at " + name);
        group_.propose(instance, "c" + std::to_string(++commands_));
    }
}

void random_schedule::cut()
{
    std::vector<std::set<std::uint32_t>> sides(2);
    for (const auto instance : instances_)
    {
        sides[random_.below(2)].insert(instance);
    }
    std::string text = "cut";
    for (const auto instance : sides[0])
    {
        text += " " + std::to_string(instance);
    }
    record_step(text);
    group_.cut(sides);
}

bool random_schedule::all_disks_replaced() const
{
    if (lost_disk_instance_ == 0)
    {
        return true;
    }
    const auto id = group_.replicas().at(lost_disk_instance_)->identity();
    return group_.committed_group().is_voter(id);
}

void random_schedule::lose_disk(std::uint32_t instance)
{
    const auto& members = group_.committed_group();
    if (!all_disks_replaced() || members.voter_count() < 3 ||
        !members.is_voter(group_.at(instance).identity()))
    {
        return;
    }
    record_step("lose disk " + std::to_string(instance));
    group_.at(instance).lose_disk();
    lost_disk_instance_ = instance;
}

void random_schedule::admit_lost()
{
    const auto* leader = group_.leader();
    if (lost_disk_instance_ == 0 || leader == nullptr)
    {
        return;
    }
    const auto& joining = group_.at(lost_disk_instance_);
    record_step("admit " + std::to_string(lost_disk_instance_));
    group_.change(leader->instance(),
                  agreement::add_replica{joining.identity(), joining.address(),
                                         joining.previous_identity()});
}

void random_schedule::add_spare()
{
    const auto* leader = group_.leader();
    if (leader == nullptr)
    {
        return;
    }
    const auto& spare = group_.at(spare_instance);
    record_step("add spare");
    group_.change(
        leader->instance(),
        agreement::add_replica{spare.identity(), spare.address(), {}});
}

void random_schedule::remove(std::uint32_t instance)
{
    const auto* leader = group_.leader();
    if (leader == nullptr || !all_disks_replaced() ||
        group_.committed_group().voter_count() < 4)
    {
        return;
    }
    record_step("remove " + std::to_string(instance));
    group_.change(leader->instance(),
                  agreement::remove_replica{group_.at(instance).identity()});
}

} // namespace boragestand::testing
