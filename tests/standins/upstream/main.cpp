#include "upstream.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace boragestand;
using namespace boragestand::standins;

namespace
{

constexpr std::uint32_t max_upstreams = 200;

options::options_description accepted_options()
{
    options::options_description accepted("standin-upstream");
    const auto text = [](const char* value)
    {
        return options::value<std::string>()->default_value(value);
    };
    const auto number = [](std::uint64_t value)
    {
        return options::value<std::uint64_t>()->default_value(value);
    };
    auto add = accepted.add_options();
    add("service", options::value<std::string>()->required(), "service name");
    add("service-address", options::value<std::string>()->required(),
        "inner destination address");
    add("name-prefix", text("up-"),
        "prefix of the names, followed by a number");
    add("first", number(1), "number of the first upstream");
    add("count", number(1), "number of upstreams, on consecutive addresses");
    add("address", options::value<std::string>()->required(),
        "Geneve endpoint of the first upstream");
    add("entry", options::value<std::vector<std::string>>()->required(),
        "HTTP/2 endpoint of an entry instance, may be repeated");
    add("returns", text("127.9.0.1:6081"), "fabric endpoint towards callers");
    add("http-port", number(8080), "port of the health and load endpoints");
    add("slots", number(2), "requests that run at once");
    add("connections", number(2000), "limit of open flows");
    add("weight", number(100), "announced weight");
    add("warmup-ms", number(0), "announced warm-up time");
    add("lease-ms", number(3000), "announced lease");
    add("shed-queue", number(10000),
        "limit of waiting requests; others are shed");
    add("cold-ms", number(0), "time after the start with slower work");
    add("cold-factor", options::value<double>()->default_value(1),
        "factor on the work time while cold");
    add("load-lag-ms", number(0), "age of reported load");
    add("false-load", options::value<std::uint32_t>(),
        "load to report instead of the actual one");
    add("false-health", options::bool_switch(), "report as unhealthy");
    add("run-log", text(""), "file that gets a line for each run");
    add("drain-min-ms", number(2500), "shortest drain");
    add("drain-limit-ms", number(60000), "longest drain");
    return accepted;
}

std::uint32_t number_of(const options::variables_map& values, const char* name)
{
    return static_cast<std::uint32_t>(values[name].as<std::uint64_t>());
}

std::string name_of(const options::variables_map& values, std::uint32_t index)
{
    std::ostringstream name;
    name << values["name-prefix"].as<std::string>() << std::setw(2)
         << std::setfill('0') << number_of(values, "first") + index;
    return name.str();
}

announcement content_of(const options::variables_map& values,
                        std::uint32_t index)
{
    announcement content;
    content.service = values["service"].as<std::string>();
    content.name = name_of(values, index);
    content.address = endpoint_option(values, "address");
    content.address.address += index;
    content.slots = number_of(values, "slots");
    content.connections = number_of(values, "connections");
    content.weight = number_of(values, "weight");
    content.warmup_ms = number_of(values, "warmup-ms");
    content.lease_ms = number_of(values, "lease-ms");
    const std::string host =
        "http://" + transport::to_string({content.address.address,
                                          static_cast<std::uint16_t>(
                                              number_of(values, "http-port"))});
    content.health_url = host + "/health";
    content.load_url = host + "/load";
    return content;
}

upstream_settings settings_of(const options::variables_map& values,
                              const std::shared_ptr<run_log>& log,
                              std::uint32_t index)
{
    upstream_settings settings;
    settings.content = content_of(values, index);
    settings.service_address = endpoint_option(values, "service-address");
    settings.returns = endpoint_option(values, "returns");
    for (const auto& entry : values["entry"].as<std::vector<std::string>>())
    {
        settings.entries.push_back(
            value_or_exit(transport::parse_endpoint(entry)));
    }
    // Spreads the first announcements over the entry instances.
    std::rotate(settings.entries.begin(),
                settings.entries.begin() + index % settings.entries.size(),
                settings.entries.end());
    settings.runner.slots = number_of(values, "slots");
    settings.runner.shed_queue = number_of(values, "shed-queue");
    settings.runner.cold_time = milliseconds_option(values, "cold-ms");
    settings.runner.cold_factor = values["cold-factor"].as<double>();
    settings.runner.log = log;
    settings.http_port =
        static_cast<std::uint16_t>(number_of(values, "http-port"));
    settings.load_lag = milliseconds_option(values, "load-lag-ms");
    if (values.count("false-load"))
    {
        settings.false_load = values["false-load"].as<std::uint32_t>();
    }
    settings.false_health = values["false-health"].as<bool>();
    settings.drain_minimum = milliseconds_option(values, "drain-min-ms");
    settings.drain_limit = milliseconds_option(values, "drain-limit-ms");
    return settings;
}

void print_results(const std::vector<std::unique_ptr<upstream>>& upstreams,
                   const run_log& log)
{
    upstream_counters flows;
    runner_counters runs;
    for (const auto& each : upstreams)
    {
        flows.flows += each->counters().flows;
        flows.foreign_requests += each->counters().foreign_requests;
        flows.foreign_packets += each->counters().foreign_packets;
        flows.unknown_flow += each->counters().unknown_flow;
        flows.late_flows += each->counters().late_flows;
        flows.dropped_syns += each->counters().dropped_syns;
        flows.cut_flows += each->counters().cut_flows;
        runs.requests += each->requests().requests;
        runs.completed += each->requests().completed;
        runs.cancelled += each->requests().cancelled;
        runs.shed += each->requests().shed;
        runs.expired += each->requests().expired;
    }
    std::cout << "upstream upstreams=" << upstreams.size()
              << " flows=" << flows.flows << " requests=" << runs.requests
              << " completed=" << runs.completed
              << " duplicate_runs=" << log.duplicate_runs()
              << " foreign_requests=" << flows.foreign_requests
              << " foreign_packets=" << flows.foreign_packets
              << " unknown_flow=" << flows.unknown_flow
              << " late_flows=" << flows.late_flows
              << " dropped_syns=" << flows.dropped_syns
              << " cut_flows=" << flows.cut_flows
              << " cancelled=" << runs.cancelled << " shed=" << runs.shed
              << " expired=" << runs.expired << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    auto accepted = accepted_options();
    const auto values = parse_options(argc, argv, accepted);
    const std::uint32_t count =
        std::min(number_of(values, "count"), max_upstreams);

    program host;
    const auto log =
        std::make_shared<run_log>(values["run-log"].as<std::string>());
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (std::uint32_t index = 0; index < count; ++index)
    {
        upstreams.push_back(
            std::make_unique<upstream>(host, settings_of(values, log, index)));
    }
    transport::subscription announced;
    announced = host.timers.every(
        std::chrono::milliseconds(20),
        [&](time_point)
        {
            if (std::all_of(upstreams.begin(), upstreams.end(),
                            [](const auto& each)
                            { return each->is_announced(); }))
            {
                std::cout << "announced" << std::endl;
                announced.cancel();
            }
        });
    std::size_t stopped = 0;
    const auto stop = [&]
    {
        for (const auto& each : upstreams)
        {
            each->stop(
                [&]
                {
                    if (++stopped == upstreams.size())
                    {
                        host.loop.quit();
                    }
                });
        }
    };
    host.run(milliseconds_option(values, "time-limit-ms"), stop);
    print_results(upstreams, *log);
}
