#include "fleet/plan_machine.hpp"

#include <utility>

namespace boragestand::fleet
{

plan_machine::plan_machine(fleet_log& log, std::function<void()> changed)
    : log_(log), changed_(std::move(changed))
{
}

result<void> plan_machine::apply(const protocol::log_entry& entry)
{
    auto command = state::decode_fleet_command(entry.data);
    if (!command)
    {
        return failure(error_kind::storage_corrupt,
                       "entry " + std::to_string(entry.index) +
                           " does not decode: " + command.error().message);
    }
    std::visit([&](auto&& each) { apply(std::move(each), entry.index); },
               std::move(*command));
    return {};
}

void plan_machine::apply(state::submitted_plan plan, std::uint64_t index)
{
    const auto version = plan.plan.version;
    const auto former = current()->plan.version;
    const auto outcome = plans_.apply(std::move(plan));
    log_.plan_applied(index, version, former, outcome);
}

void plan_machine::apply(const state::evacuation_order& order,
                         std::uint64_t index)
{
    const bool changed = evacuations_.apply(order, index);
    log_.evacuation_applied(order, index, changed);
}

std::string plan_machine::snapshot() const
{
    return state::encode_fleet_state(*current(), evacuations_);
}

result<void> plan_machine::restore(const std::string& data)
{
    plans_ = {};
    evacuations_ = {};
    if (data.empty())
    {
        return {};
    }
    auto restored = state::decode_fleet_state(data);
    if (!restored)
    {
        return failure(error_kind::storage_corrupt,
                       "snapshot does not decode: " + restored.error().message);
    }
    plans_.apply(std::move(restored->plan));
    evacuations_ = std::move(restored->evacuations);
    return {};
}

void plan_machine::finish_step()
{
    const auto version = current()->plan.version;
    const auto index = evacuations_.newest_index();
    if (version != published_plan_ || index != published_evacuation_)
    {
        published_plan_ = version;
        published_evacuation_ = index;
        changed_();
    }
}

} // namespace boragestand::fleet
