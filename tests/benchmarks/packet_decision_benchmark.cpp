// Measures the time of one packet decision and the memory of one flow at
// several sizes of the flow table. Packets pick flows in random order, as in
// traffic.

#include "coordination/coordination.hpp"

#include <benchmark/benchmark.h>

namespace boragestand::coordination
{

namespace
{

using namespace std::chrono_literals;

constexpr service_id service_number{1};
constexpr unsigned upstream_count = 14;

std::shared_ptr<const state::configuration> make_configuration()
{
    auto configuration = std::make_shared<state::configuration>();
    state::service service;
    service.id = service_number;
    service.name = "member-desk";
    service.address = {0x0a000001, 443};
    configuration->revision = 1;
    configuration->services.push_back(service);
    return configuration;
}

transport::endpoint caller_of(std::size_t number)
{
    return {static_cast<std::uint32_t>(0x0b000000 + number / 32),
            static_cast<std::uint16_t>(1024 + number % 32)};
}

class loaded_router
{
public:
    explicit loaded_router(std::size_t flows) : router_(make_settings())
    {
        step(configuration_received{make_configuration()});
        for (unsigned number = 1; number <= upstream_count; ++number)
        {
            protocol::upstream_record record;
            record.service = service_number;
            record.upstream = upstream_id{number};
            record.name = std::to_string(number);
            record.address = {0x7f000000 + number, 6081};
            record.incarnation = 1;
            record.sequence = 1;
            record.slots = 65535;
            record.connections = 1000000;
            record.lease_ms = 1000000000;
            step(upstream_announced{record});
        }
        step(tick{});
        for (std::size_t number = 0; number < flows; ++number)
        {
            packet_event event = packet_of(number);
            event.packet.flags.syn = true;
            router_.decide(event);
            event.packet.flags = {false, true, false, false};
            event.packet.acknowledgement = 1;
            router_.decide(event);
        }
    }

    packet_event packet_of(std::size_t number) const
    {
        packet_event event;
        event.now = now_;
        event.packet.source = caller_of(number);
        event.packet.destination = {0x0a000001, 443};
        event.packet.acknowledgement = 1;
        event.packet.payload_size = 100;
        event.packet.flags.ack = true;
        return event;
    }

    flow_router& router() { return router_; }

private:
    static router_settings make_settings()
    {
        router_settings settings;
        settings.self = instance_id{1};
        settings.incarnation = 1;
        settings.members = {{instance_id{1}, "one", data_centre_id{1}}};
        return settings;
    }

    void step(decltype(router_event::content) what)
    {
        router_.step({now_, wall_time{}, std::move(what)});
    }

    time_point now_{1000s};
    flow_router router_;
};

void known_flow(benchmark::State& state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    loaded_router loaded(flows);
    random_generator random(7);
    packet_event packet = loaded.packet_of(0);
    std::size_t forwarded = 0;
    for ([[maybe_unused]] const auto& iteration : state)
    {
        packet.packet.source = caller_of(random.below(flows));
        const auto decision = loaded.router().decide(packet);
        forwarded += std::holds_alternative<forward_to_upstream>(decision);
    }
    state.counters["flows"] = static_cast<double>(loaded.router().flow_count());
    state.counters["forwarded_share"] = static_cast<double>(forwarded) /
                                        static_cast<double>(state.iterations());
}

void new_flow(benchmark::State& state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    loaded_router loaded(flows);
    std::size_t number = flows;
    for ([[maybe_unused]] const auto& iteration : state)
    {
        packet_event event = loaded.packet_of(number++);
        event.packet.flags = {true, false, false, false};
        event.packet.payload_size = 0;
        benchmark::DoNotOptimize(loaded.router().decide(event));
    }
}

void held_flow_bytes(benchmark::State& state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    double bytes = 0;
    double worst = 0;
    for ([[maybe_unused]] const auto& iteration : state)
    {
        state::flow_table table(600000);
        worst = 0;
        for (std::size_t number = 0; number < flows; ++number)
        {
            const protocol::flow_key key{
                service_number,
                {static_cast<std::uint32_t>(number), 1024},
                {0x0a000001, 443},
                protocol::ip_protocol::tcp};
            table.insert(key, protocol::hash_of(key));
            if (table.size() >= flows / 2)
            {
                worst =
                    std::max(worst, static_cast<double>(table.memory_bytes()) /
                                        static_cast<double>(table.size()));
            }
        }
        bytes = static_cast<double>(table.memory_bytes()) /
                static_cast<double>(flows);
    }
    state.counters["bytes_per_flow"] = bytes;
    state.counters["largest_while_growing"] = worst;
}

BENCHMARK(known_flow)->Arg(10000)->Arg(100000)->Arg(500000);
BENCHMARK(new_flow)->Arg(10000)->Arg(100000)->Arg(400000)->Iterations(50000);
BENCHMARK(held_flow_bytes)->Arg(10000)->Arg(100000)->Arg(500000)->Iterations(1);

} // namespace

} // namespace boragestand::coordination

BENCHMARK_MAIN();
