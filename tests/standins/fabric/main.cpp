#include "fabric.hpp"

#include <iostream>

using namespace boragestand;
using namespace boragestand::standins;

int main(int argc, char** argv)
{
    options::options_description accepted("standin-fabric");
    accepted.add_options()(
        "entries", options::value<std::string>()->required(),
        "file with the Geneve endpoints of the entry instances, one per line; "
        "reloaded on SIGHUP")(
        "callers",
        options::value<std::string>()->default_value("127.9.0.1:6080"),
        "Geneve endpoint that receives packets from callers")(
        "returns",
        options::value<std::string>()->default_value("127.9.0.1:6081"),
        "Geneve endpoint that receives packets for callers")(
        "loss", options::value<double>()->default_value(0),
        "share of packets that are lost, 0 to 1")(
        "duplication", options::value<double>()->default_value(0),
        "share of packets that are sent twice, 0 to 1")(
        "delay-ms", options::value<std::uint64_t>()->default_value(0),
        "delay of each packet")(
        "jitter-ms", options::value<std::uint64_t>()->default_value(0),
        "additional random delay")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of all random choices");
    const auto values = parse_options(argc, argv, accepted);

    program host;
    fabric_settings settings;
    settings.entries_file = values["entries"].as<std::string>();
    settings.callers = endpoint_option(values, "callers");
    settings.returns = endpoint_option(values, "returns");
    settings.loss = values["loss"].as<double>();
    settings.duplication = values["duplication"].as<double>();
    settings.delay = milliseconds_option(values, "delay-ms");
    settings.jitter = milliseconds_option(values, "jitter-ms");
    settings.seed = values["seed"].as<std::uint64_t>();
    const fabric running_fabric(host, settings);
    host.run(milliseconds_option(values, "time-limit-ms"),
             [&] { host.loop.quit(); });

    const fabric_counters& counters = running_fabric.counters();
    std::cout << "fabric to_entries=" << counters.to_entries
              << " to_callers=" << counters.to_callers
              << " lost=" << counters.lost
              << " duplicated=" << counters.duplicated
              << " unknown_caller=" << counters.unknown_caller
              << " malformed=" << counters.malformed
              << " overflow=" << counters.overflow << std::endl;
}
