#include "load_model.hpp"

#include "demand.hpp"
#include "measurements.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace boragestand::model
{

namespace
{

namespace acc = boost::accumulators;
using namespace std::chrono_literals;

constexpr duration length = 40s;
constexpr duration restart_at = 20s;
constexpr duration observed_time = 10s;
constexpr duration short_time = 20ms;
constexpr double load = 0.7;

using quantiles =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::tail_quantile<acc::right>>>;

log_line run_one(design_kind design, const std::vector<model_request>& demand)
{
    load_options options;
    options.design = design;
    options.cold_start = restart_at;
    load_model model(options, demand);
    model.run(length + 20s, 1s, [] {});
    quantiles times(acc::tag::tail<acc::right>::cache_size =
                        model.outcomes().size());
    std::uint64_t unanswered = 0;
    for (const request_outcome& outcome : model.outcomes())
    {
        const time_point sent = outcome.request.sent;
        if (sent < time_point(restart_at) ||
            sent >= time_point(restart_at + observed_time))
        {
            continue;
        }
        if (!outcome.answered)
        {
            ++unanswered;
            continue;
        }
        times(
            std::chrono::duration<double, std::milli>(*outcome.answered - sent)
                .count());
    }
    return log_line("result")
        .with("measurement", "cold_start")
        .with("design", name_of(design))
        .with("answer_p50_ms",
              acc::quantile(times, acc::quantile_probability = 0.5))
        .with("answer_p99_ms",
              acc::quantile(times, acc::quantile_probability = 0.99))
        .with("unanswered", unanswered);
}

} // namespace

result_lines measure_cold_start(std::uint64_t seed)
{
    demand_options options;
    options.length = length;
    options.highest_rate = load * upstream_count * slots_per_upstream /
                           std::chrono::duration<double>(short_time).count();
    options.rate = [rate = options.highest_rate](duration)
    {
        return rate;
    };
    options.short_time = short_time;
    const auto demand = make_demand(options, seed);
    result_lines lines;
    for (const design_kind design : all_designs)
    {
        lines.push_back(run_one(design, demand));
    }
    return lines;
}

} // namespace boragestand::model
