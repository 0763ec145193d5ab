#pragma once

#include "model_types.hpp"

#include <functional>
#include <vector>

namespace boragestand::model
{

/// Parameters of generated demand.
struct demand_options
{
    duration length{std::chrono::seconds(60)};
    /// New flows per second as a function of the time since the start.
    std::function<double(duration)> rate;
    /// Upper bound of rate, needed for thinning.
    double highest_rate{0};
    duration short_time{std::chrono::milliseconds(20)};
    double long_share{0};
    unsigned long_factor{100};
    duration mean_open_after_answer{0};
    duration deadline{0};
};

/// Generates requests with Poisson arrivals in the order of sending. Service
/// times are uniform between 0.5 and 1.5 times their mean; the times for which
/// connections stay open are exponential. The same seed gives the same
/// requests.
std::vector<model_request> make_demand(const demand_options& options,
                                       std::uint64_t seed);

} // namespace boragestand::model
