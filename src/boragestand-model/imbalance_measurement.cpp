#include "load_model.hpp"

#include "demand.hpp"
#include "measurements.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <numeric>

namespace boragestand::model
{

namespace
{

namespace acc = boost::accumulators;
using namespace std::chrono_literals;

constexpr double target = 1.15;
constexpr double open_flows = 0.7 * 2000 * upstream_count;
constexpr duration mean_open = 10s;
constexpr duration length = 60s;
constexpr duration settling_time = 30s;

struct imbalance_case
{
    const char* name;
    std::optional<std::pair<std::uint32_t, std::uint16_t>> false_load;
};

double max_over_mean(const std::vector<std::uint32_t>& open)
{
    const double sum = std::accumulate(open.begin(), open.end(), 0.0);
    const double most = *std::max_element(open.begin(), open.end());
    return sum > 0 ? most * static_cast<double>(open.size()) / sum : 1.0;
}

std::vector<model_request> make_case_demand(std::uint64_t seed)
{
    demand_options options;
    options.length = length;
    options.highest_rate =
        open_flows / std::chrono::duration<double>(mean_open).count();
    options.rate = [rate = options.highest_rate](duration)
    {
        return rate;
    };
    // With one short request per connection, 70% of the slots are busy.
    options.short_time = 10ms;
    options.mean_open_after_answer = mean_open;
    return make_demand(options, seed);
}

log_line run_one(design_kind design, const imbalance_case& item,
                 const std::vector<model_request>& demand)
{
    load_options options;
    options.design = design;
    options.false_load = item.false_load;
    load_model model(options, demand);
    acc::accumulator_set<double, acc::stats<acc::tag::max, acc::tag::mean>>
        samples;
    model.run(length, 100ms,
              [&]
              {
                  if (model.now() >= time_point(settling_time))
                  {
                      samples(max_over_mean(model.open_flows()));
                  }
              });
    const double most = acc::max(samples);
    return log_line("result")
        .with("measurement", "imbalance")
        .with("design", name_of(design))
        .with("case", item.name)
        .with("mean", acc::mean(samples))
        .with("max", most)
        .with("target", target)
        .with("met", most <= target);
}

} // namespace

result_lines measure_imbalance(std::uint64_t seed)
{
    const auto demand = make_case_demand(seed);
    result_lines lines;
    for (const imbalance_case& item :
         {imbalance_case{"truthful", {}},
          imbalance_case{"reports_none", std::pair(0u, std::uint16_t{0})},
          imbalance_case{"reports_full", std::pair(2000u, std::uint16_t{2})}})
    {
        for (const design_kind design : all_designs)
        {
            lines.push_back(run_one(design, item, demand));
        }
    }
    return lines;
}

} // namespace boragestand::model
