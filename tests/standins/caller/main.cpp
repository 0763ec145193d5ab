#include "caller.hpp"

#include <algorithm>
#include <iostream>

using namespace boragestand;
using namespace boragestand::standins;

namespace
{

constexpr std::uint64_t max_flows = 1000000;

options::options_description accepted_options()
{
    options::options_description accepted("standin-caller");
    const auto text = [](const char* value)
    {
        return options::value<std::string>()->default_value(value);
    };
    const auto number = [](std::uint64_t value)
    {
        return options::value<std::uint64_t>()->default_value(value);
    };
    const auto real = [](double value)
    {
        return options::value<double>()->default_value(value);
    };
    auto add = accepted.add_options();
    add("service", options::value<std::string>()->required(), "service name");
    add("service-address", options::value<std::string>()->required(),
        "address and port that callers use");
    add("protocol", text("tcp"), "tcp or udp");
    add("local", text("127.9.1.1:6081"), "UDP endpoint of this process");
    add("fabric", text("127.9.0.1:6080"), "Geneve endpoint of the fabric");
    add("inner-address", text("10.9.0.1"),
        "address of the callers, a different one for each process");
    add("flows", number(100), "flows to open");
    add("rate", real(100), "new flows per second");
    add("long-share", real(0), "share of long flows, 0 to 1");
    add("work-ms", number(5), "work of a short request");
    add("bytes", number(500), "response body of a short request");
    add("requests", number(1), "requests of a short flow");
    add("long-work-ms", number(2000), "work of a long request");
    add("long-bytes", number(200000), "response body of a long request");
    add("long-requests", number(1), "requests of a long flow");
    add("think-ms", number(0), "pause between requests of a flow");
    add("unmarked", options::bool_switch(),
        "do not send the class of work in packets");
    add("deadline-ms", number(0), "deadline of each request, 0 is none");
    add("give-up-ms", number(0), "cancel flows that take longer, 0 disables");
    add("flow-limit-ms", number(30000), "flows that take longer are broken");
    add("seed", number(1), "seed of all random choices");
    return accepted;
}

std::uint32_t number_of(const options::variables_map& values, const char* name)
{
    return static_cast<std::uint32_t>(values[name].as<std::uint64_t>());
}

caller_settings settings_of(const options::variables_map& values)
{
    caller_settings settings;
    settings.service = values["service"].as<std::string>();
    settings.service_address = endpoint_option(values, "service-address");
    settings.protocol = values["protocol"].as<std::string>() == "udp"
                            ? protocol::ip_protocol::udp
                            : protocol::ip_protocol::tcp;
    settings.local = endpoint_option(values, "local");
    settings.fabric = endpoint_option(values, "fabric");
    settings.inner_address = value_or_exit(
        transport::parse_address(values["inner-address"].as<std::string>()));
    settings.flows = std::min(values["flows"].as<std::uint64_t>(), max_flows);
    settings.rate = values["rate"].as<double>();
    settings.long_share = values["long-share"].as<double>();
    const duration think_time = milliseconds_option(values, "think-ms");
    settings.short_work = {number_of(values, "work-ms"),
                           number_of(values, "bytes"),
                           number_of(values, "requests"), think_time};
    settings.long_work = {number_of(values, "long-work-ms"),
                          number_of(values, "long-bytes"),
                          number_of(values, "long-requests"), think_time};
    settings.mark_class = !values["unmarked"].as<bool>();
    settings.deadline_ms = number_of(values, "deadline-ms");
    settings.give_up = milliseconds_option(values, "give-up-ms");
    settings.flow_limit = milliseconds_option(values, "flow-limit-ms");
    settings.seed = values["seed"].as<std::uint64_t>();
    return settings;
}

// Returns the latency percentile in milliseconds; share is 0 to 1.
double percentile(std::vector<duration> latencies, double share)
{
    if (latencies.empty())
    {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(
        share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(),
                     latencies.begin() + static_cast<std::ptrdiff_t>(rank),
                     latencies.end());
    return static_cast<double>(latencies[rank].count()) / 1000.0;
}

void print_results(const caller& finished_caller)
{
    const caller_counters& counters = finished_caller.counters();
    std::cout << "caller flows=" << counters.flows
              << " completed=" << counters.count(flow_result::completed)
              << " broken=" << counters.count(flow_result::broken)
              << " wrong_service=" << counters.count(flow_result::wrong_service)
              << " refused=" << counters.count(flow_result::refused)
              << " shed=" << counters.count(flow_result::shed)
              << " cancelled=" << counters.count(flow_result::cancelled)
              << " open=" << finished_caller.open_flows()
              << " short_p50_ms=" << percentile(counters.short_latencies, 0.5)
              << " short_p99_ms=" << percentile(counters.short_latencies, 0.99)
              << " long_p50_ms=" << percentile(counters.long_latencies, 0.5)
              << " long_p99_ms=" << percentile(counters.long_latencies, 0.99)
              << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    auto accepted = accepted_options();
    const auto values = parse_options(argc, argv, accepted);
    program host;
    const caller running_caller(host, settings_of(values),
                                [&] { host.loop.quit(); });
    host.run(milliseconds_option(values, "time-limit-ms"),
             [&] { host.loop.quit(); });
    print_results(running_caller);
}
