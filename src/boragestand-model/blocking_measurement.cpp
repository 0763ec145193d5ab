#include "load_model.hpp"

#include "demand.hpp"
#include "measurements.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace boragestand::model
{

namespace
{

namespace acc = boost::accumulators;
using namespace std::chrono_literals;

constexpr duration length = 300s;
constexpr duration settling_time = 20s;
constexpr duration short_time = 20ms;
constexpr double long_share = 0.05;
constexpr unsigned long_factor = 100;
constexpr double load = 0.7;

struct wait_statistics
{
    double median_ms{0};
    double p99_ms{0};
    double longest_ms{0};
    std::size_t not_started{0};
};

// Computes exact quantiles, because the P-square estimate is inaccurate when
// most waits are zero.
wait_statistics compute_waits(const load_model& model, bool is_long)
{
    using quantiles = acc::accumulator_set<
        double, acc::stats<acc::tag::tail_quantile<acc::right>, acc::tag::max>>;
    const auto& outcomes = model.outcomes();
    quantiles found(acc::tag::tail<acc::right>::cache_size = outcomes.size());
    wait_statistics result;
    for (const request_outcome& outcome : outcomes)
    {
        if (outcome.request.is_long != is_long ||
            outcome.request.sent < time_point(settling_time))
        {
            continue;
        }
        if (outcome.started)
        {
            found(std::chrono::duration<double, std::milli>(outcome.waited)
                      .count());
        }
        result.not_started += outcome.started ? 0 : 1;
    }
    result.median_ms = acc::quantile(found, acc::quantile_probability = 0.5);
    result.p99_ms = acc::quantile(found, acc::quantile_probability = 0.99);
    result.longest_ms = acc::max(found);
    return result;
}

log_line run_one(const load_options& options, const char* name,
                 const std::vector<model_request>& demand,
                 std::optional<double>& reference_ms)
{
    load_model model(options, demand);
    model.run(length + 60s, 1s, [] {});
    const wait_statistics short_waits = compute_waits(model, false);
    const wait_statistics long_waits = compute_waits(model, true);
    if (!reference_ms)
    {
        reference_ms = short_waits.p99_ms;
    }
    const double ratio = short_waits.p99_ms / *reference_ms;
    return log_line("result")
        .with("measurement", "blocking")
        .with("design", name_of(options.design))
        .with("case", name)
        .with("short_p50_ms", short_waits.median_ms)
        .with("short_p99_ms", short_waits.p99_ms)
        .with("long_p50_ms", long_waits.median_ms)
        .with("long_p99_ms", long_waits.p99_ms)
        .with("longest_ms", long_waits.longest_ms)
        .with("not_started", short_waits.not_started + long_waits.not_started)
        .with("ratio_to_table_only", ratio)
        .with("target", 0.2)
        .with("met", ratio <= 0.2);
}

} // namespace

result_lines measure_blocking(std::uint64_t seed)
{
    demand_options demand_shape;
    demand_shape.length = length;
    const double mean_time = std::chrono::duration<double>(short_time).count() *
                             (1.0 - long_share + long_share * long_factor);
    demand_shape.highest_rate =
        load * upstream_count * slots_per_upstream / mean_time;
    demand_shape.rate = [rate = demand_shape.highest_rate](duration)
    {
        return rate;
    };
    demand_shape.short_time = short_time;
    demand_shape.long_share = long_share;
    demand_shape.long_factor = long_factor;
    const auto demand = make_demand(demand_shape, seed);
    result_lines lines;
    std::optional<double> reference_ms;
    for (const bool declared : {true, false})
    {
        for (const design_kind design : all_designs)
        {
            load_options options;
            options.design = design;
            options.class_declared = declared;
            lines.push_back(run_one(options, declared ? "declared" : "observed",
                                    demand, reference_ms));
        }
    }
    return lines;
}

} // namespace boragestand::model
