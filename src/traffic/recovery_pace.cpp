#include "traffic/recovery_pace.hpp"

#include <algorithm>

namespace boragestand::traffic
{

namespace
{

constexpr double factor = 2.0;

// Fewer answers in an aggregate say nothing about an upstream.
constexpr double min_answers = 0.5;

} // namespace

void recovery_pace::step(const loaded_upstream& upstream,
                         const joined_load& load, double usual_ms,
                         time_point now)
{
    const auto found = recovering_.find(upstream.token);
    if (found == recovering_.end())
    {
        return;
    }
    auto& [share, started] = found->second;
    const bool failing = load.failing > failing_limit;
    const bool answers = load.answers >= min_answers;
    const bool slow = answers && usual_ms > 0 &&
                      service_ms(load, upstream.slots) > slow_limit * usual_ms;
    if (failing || slow)
    {
        share = std::max(share / factor, smallest_share);
    }
    else if (answers || now - started >= idle_limit)
    {
        share *= factor;
    }
    if (share >= 1.0)
    {
        recovering_.erase(found);
    }
}

double recovery_pace::share(routing_token upstream) const
{
    const auto found = recovering_.find(upstream);
    return found == recovering_.end() ? 1.0 : found->second.share;
}

} // namespace boragestand::traffic
