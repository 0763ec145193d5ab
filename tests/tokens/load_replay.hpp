#pragma once

#include "traffic/traffic.hpp"

#include <deque>
#include <queue>
#include <vector>

namespace boragestand::traffic
{

/// An upstream of a replay.
struct replayed_upstream
{
    std::size_t data_centre{0};
    double slowness{1.0}; ///< its work takes this many times as long
    bool failing{false};  ///< answers nothing
    bool recovers{false}; ///< is in slow start from the beginning
};

/// Load that is replayed.
struct replayed_load
{
    std::vector<double> arrivals; ///< requests a second, by data centre
    std::size_t instances{20};    ///< entry instances of each data centre
    double work_ms{50};           ///< mean; single ones vary from 0.5 to 1.5
    double seconds{12};
    double warm_up_seconds{4}; ///< not counted in the result
    std::vector<replayed_upstream> upstreams;
};

/// What callers met after the first seconds.
struct replay_result
{
    double rejected{0}; ///< share of the requests
    double failed{0};   ///< share that met a failing upstream
    double mean_ms{0};  ///< of the answered ones
    double late{0};     ///< share of the answered ones over ten times the work
    double busiest{0};  ///< requests of the busiest upstream / mean
    double remote{0};   ///< share sent to another data centre
};

/// Plays single requests of callers against upstreams with two slots and a
/// queue of eight. Aggregates of the load are joined each second and reach the
/// instances a second later. joined selects by them, otherwise each instance by
/// its own flows.
replay_result replay(const replayed_load& load, bool joined);

/// count upstreams in each of some data centres.
std::vector<replayed_upstream> make_upstreams(std::size_t data_centres,
                                              std::size_t count);

} // namespace boragestand::traffic
