#include "load_model.hpp"

#include "demand.hpp"
#include "measurements.hpp"

#include <algorithm>

namespace boragestand::model
{

namespace
{

using namespace std::chrono_literals;

constexpr double target = 0.95;
constexpr duration quiet_time = 10s;
constexpr duration rise_time = 2s;
constexpr duration held_time = 10s;
constexpr duration length = 26s;
constexpr duration short_time = 20ms;
constexpr double base_load = 0.3;

double capacity()
{
    return upstream_count * slots_per_upstream /
           std::chrono::duration<double>(short_time).count();
}

double rate_at(duration time)
{
    const double base = base_load * capacity();
    if (time < quiet_time || time > quiet_time + rise_time + held_time)
    {
        return base;
    }
    const double risen =
        std::min(1.0, std::chrono::duration<double>(time - quiet_time) /
                          std::chrono::duration<double>(rise_time));
    return base * (1.0 + 9.0 * risen);
}

log_line run_one(design_kind design, const std::vector<model_request>& demand)
{
    load_options options;
    options.design = design;
    load_model model(options, demand);
    model.run(length, 1s, [] {});
    const time_point from(quiet_time + rise_time);
    const time_point to = from + held_time;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    for (const request_outcome& outcome : model.outcomes())
    {
        refused += outcome.refused ? 1 : 0;
        if (!outcome.answered || *outcome.answered < from ||
            *outcome.answered >= to)
        {
            continue;
        }
        (outcome.in_time() ? in_time : late) += 1;
    }
    const double seconds = std::chrono::duration<double>(held_time).count();
    const double goodput =
        static_cast<double>(in_time) / (capacity() * seconds);
    return log_line("result")
        .with("measurement", "peak")
        .with("design", name_of(design))
        .with("goodput", goodput)
        .with("late", static_cast<double>(late) / (capacity() * seconds))
        .with("refused_without_agreement", refused)
        .with("target", target)
        .with("met", goodput >= target && refused == 0);
}

} // namespace

result_lines measure_peak(std::uint64_t seed)
{
    demand_options options;
    options.length = length;
    options.rate = rate_at;
    options.highest_rate = 10 * base_load * capacity();
    options.short_time = short_time;
    options.deadline = 2s;
    const auto demand = make_demand(options, seed);
    result_lines lines;
    for (const design_kind design : all_designs)
    {
        lines.push_back(run_one(design, demand));
    }
    return lines;
}

} // namespace boragestand::model
