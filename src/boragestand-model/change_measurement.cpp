#include "flow_model.hpp"

#include "measurements.hpp"

#include <functional>

namespace boragestand::model
{

namespace
{

using namespace std::chrono_literals;

constexpr duration arrival_period = 24s;
constexpr time_point change_at(10s);
constexpr time_point end_of_arrivals(arrival_period);
constexpr double max_control_bytes_per_second = 3000;

struct change_case
{
    const char* name;
    bool planned; ///< a planned change, which must break no flow
    std::function<void(flow_model&)> apply;
};

std::vector<change_case> cases()
{
    return {
        {"no_change", true,
         [](flow_model&) {
         }},
        {"upstream_joins", true,
         [](flow_model& model)
         {
             model.add_upstream(upstream_count);
         }},
        {"upstream_drains", true,
         [](flow_model& model)
         {
             model.drain_upstream(3);
         }},
        {"upstream_dies", false,
         [](flow_model& model)
         {
             model.kill_upstream(3);
         }},
        {"instance_joins", true,
         [](flow_model& model)
         {
             model.start_instance(1);
         }},
        {"instance_stops", true,
         [](flow_model& model)
         {
             model.stop_instance(2);
         }},
        {"instance_killed", false,
         [](flow_model& model)
         {
             model.kill_instance(2);
         }},
        {"two_killed", false,
         [](flow_model& model)
         {
             model.kill_instance(2);
             model.run_until(model.now() + 800ms);
             model.kill_instance(5);
         }},
        {"weights_change", true,
         [](flow_model& model)
         {
             model.change_weights();
         }},
        {"data_centre_cut", false,
         [](flow_model& model)
         {
             model.partition_data_centre();
             model.run_until(model.now() + 6s);
             model.heal_partition();
         }},
    };
}

std::vector<model_request> make_case_demand(std::uint64_t seed)
{
    demand_options options;
    options.length = arrival_period;
    options.highest_rate = 300;
    options.rate = [](duration time)
    {
        return time < 3s ? 0.0 : 300.0;
    };
    options.short_time = 200ms;
    options.long_share = 0.05;
    options.long_factor = 50;
    return make_demand(options, seed);
}

log_line run_one(design_kind design, const change_case& item,
                 const std::vector<model_request>& demand, std::uint64_t seed)
{
    flow_model model(design, demand, seed);
    if (std::string(item.name) == "instance_joins")
    {
        // Stopped here so that it can join at change_at.
        model.kill_instance(1);
    }
    model.run_until(change_at);
    item.apply(model);
    model.run_until(end_of_arrivals);
    const double seconds =
        std::chrono::duration<double>(arrival_period).count();
    const double bytes_per_second =
        static_cast<double>(model.control_bytes()) / (seconds * owner_count);
    model.finish(40s);
    const flow_counts& counts = model.counts();
    return log_line("result")
        .with("measurement", "changes")
        .with("case", item.name)
        .with("design", name_of(design))
        .with("planned", item.planned)
        .with("broken", counts.broken)
        .with("excused", counts.excused)
        .with("completed", counts.completed)
        .with("control_bytes_per_second", bytes_per_second)
        .with("target", 0)
        .with("met", counts.broken == 0 &&
                         bytes_per_second <= max_control_bytes_per_second);
}

} // namespace

result_lines measure_changes(std::uint64_t seed)
{
    const auto demand = make_case_demand(seed);
    result_lines lines;
    for (const change_case& item : cases())
    {
        for (const design_kind design : all_designs)
        {
            lines.push_back(run_one(design, item, demand, seed));
        }
    }
    return lines;
}

} // namespace boragestand::model
