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
    auto plan = state::decode_submitted_plan(entry.data);
    if (!plan)
    {
        return failure(error_kind::storage_corrupt,
                       "entry " + std::to_string(entry.index) +
                           " does not decode: " + plan.error().message);
    }
    const auto version = plan->plan.version;
    const auto former = current()->plan.version;
    const auto outcome = plans_.apply(std::move(*plan));
    log_.plan_applied(entry.index, version, former, outcome);
    return {};
}

std::string plan_machine::snapshot() const
{
    return state::encode_plan(*current());
}

result<void> plan_machine::restore(const std::string& data)
{
    plans_ = {};
    if (data.empty())
    {
        return {};
    }
    auto plan = state::decode_submitted_plan(data);
    if (!plan)
    {
        return failure(error_kind::storage_corrupt,
                       "snapshot does not decode: " + plan.error().message);
    }
    plans_.apply(std::move(*plan));
    return {};
}

void plan_machine::finish_step()
{
    const auto version = current()->plan.version;
    if (version != published_)
    {
        published_ = version;
        changed_();
    }
}

} // namespace boragestand::fleet
