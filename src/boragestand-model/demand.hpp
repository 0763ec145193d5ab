#pragma once

#include "model_types.hpp"

#include <functional>
#include <vector>

namespace boragestand::model
{

/// How demand is made.
struct demand_options
{
    duration length{std::chrono::seconds(60)};
    /// New flows a second at a time after the start.
    std::function<double(duration)> rate;
    /// The highest value of rate.
    double highest_rate{0};
    duration short_time{std::chrono::milliseconds(20)};
    double long_share{0};
    unsigned long_factor{100};
    duration mean_open_after_answer{0};
    duration deadline{0};
};

/// Requests with Poisson arrivals, in the order of their sending. Service times
/// are spread evenly between half and one and a half times their mean, times of
/// open connections exponentially. The same seed gives the same requests.
std::vector<model_request> make_demand(const demand_options& options,
                                       std::uint64_t seed);

} // namespace boragestand::model
