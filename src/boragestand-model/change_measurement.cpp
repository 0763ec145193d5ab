#include "flow_model.hpp"

#include "measurements.hpp"

#include <functional>

namespace boragestand::model
{

namespace
{

using namespace std::chrono_literals;

constexpr duration arrivals = 24s;
constexpr time_point change_at(10s);
constexpr time_point end_of_arrivals(arrivals);
constexpr double target_bytes = 3000;

struct change_case
{
    const char* name;
    bool planned; ///< no flow may break at all
    std::function<void(flow_model&)> play;
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
             model.cut_data_centre();
             model.run_until(model.now() + 6s);
             model.join_data_centre();
         }},
    };
}

std::vector<model_request> demand_of(std::uint64_t seed)
{
    demand_options options;
    options.length = arrivals;
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
        // The instance that joins at change_at is missing until then.
        model.kill_instance(1);
    }
    model.run_until(change_at);
    item.play(model);
    model.run_until(end_of_arrivals);
    const double seconds = std::chrono::duration<double>(arrivals).count();
    const double bytes =
        static_cast<double>(model.control_bytes()) / (seconds * owner_count);
    model.finish(40s);
    const flow_tally& tally = model.tally();
    return log_line("result")
        .with("measurement", "changes")
        .with("case", item.name)
        .with("design", name_of(design))
        .with("planned", item.planned)
        .with("broken", tally.broken)
        .with("excused", tally.excused)
        .with("completed", tally.completed)
        .with("control_bytes_per_second", bytes)
        .with("target", 0)
        .with("met", tally.broken == 0 && bytes <= target_bytes);
}

} // namespace

result_lines measure_changes(std::uint64_t seed)
{
    const auto demand = demand_of(seed);
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
