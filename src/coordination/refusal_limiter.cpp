#include "coordination/refusal_limiter.hpp"

#include <algorithm>

namespace boragestand::coordination
{

void refusal_limiter::apply(std::vector<state::refusal_agreement> agreements)
{
    agreements_ = std::move(agreements);
    std::erase_if(used_,
                  [this](const auto& item)
                  {
                      return std::none_of(
                          agreements_.begin(), agreements_.end(),
                          [&item](const state::refusal_agreement& agreement)
                          { return agreement.id == item.first; });
                  });
}

std::optional<std::uint64_t> refusal_limiter::acquire(std::string_view rule,
                                                      time_point now,
                                                      wall_time wall_now)
{
    for (const state::refusal_agreement& agreement : agreements_)
    {
        if (agreement.rule != rule || agreement.expires <= wall_now)
        {
            continue;
        }
        auto& used = used_[agreement.id];
        while (!used.empty() && used.front() + std::chrono::minutes(1) <= now)
        {
            used.pop_front();
        }
        if (used.size() < agreement.limit_per_minute)
        {
            used.push_back(now);
            return agreement.id;
        }
    }
    return std::nullopt;
}

} // namespace boragestand::coordination
