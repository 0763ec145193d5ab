#include "demand.hpp"

#include <cmath>

namespace boragestand::model
{

namespace
{

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

double draw_exponential(random_generator& random)
{
    return -std::log(1.0 - random.fraction());
}

} // namespace

std::vector<model_request> make_demand(const demand_options& options,
                                       std::uint64_t seed)
{
    random_generator random(seed);
    std::vector<model_request> demand;
    duration sent{0};
    while (true)
    {
        sent += to_duration(draw_exponential(random) / options.highest_rate);
        if (sent >= options.length)
        {
            return demand;
        }
        // Thinning makes a Poisson process of varying rate from one of constant
        // rate.
        if (random.fraction() * options.highest_rate > options.rate(sent))
        {
            continue;
        }
        model_request request;
        request.sent = time_point(sent);
        request.flow_hash = random.next();
        request.is_long = random.fraction() < options.long_share;
        const duration mean =
            options.short_time *
            (request.is_long ? static_cast<int>(options.long_factor) : 1);
        request.service_time = std::chrono::duration_cast<duration>(
            mean * (0.5 + random.fraction()));
        request.open_after_answer = std::chrono::duration_cast<duration>(
            options.mean_open_after_answer * draw_exponential(random));
        request.deadline = options.deadline;
        demand.push_back(request);
    }
}

} // namespace boragestand::model
