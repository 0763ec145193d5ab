// Measures what the transfer of a plan costs an entry instance and a control
// instance at several sizes of the plan.

#include "../support/numbered_plan.hpp"
#include "coordination/coordination.hpp"

#include <benchmark/benchmark.h>

namespace boragestand::coordination
{

namespace
{

std::shared_ptr<state::routing_plan>
change_one_route(const state::routing_plan& plan)
{
    auto next = std::make_shared<state::routing_plan>(plan);
    ++next->version;
    ++next->routes[next->version % next->routes.size()].timeout_ms;
    return next;
}

/// Requests pages until a plan is complete; returns their bytes.
std::size_t request_plan(plan_copy& copy, plan_publisher& source)
{
    std::size_t bytes = 0;
    bool complete = false;
    while (!complete)
    {
        const auto page = source.answer(copy.make_request());
        bytes += page.size();
        complete = copy.apply(*decode_plan_page(page)).value().has_value();
    }
    return bytes;
}

void set_bytes(benchmark::State& state, std::size_t bytes)
{
    state.counters["bytes"] = static_cast<double>(bytes);
}

void entry_takes_whole_plan(benchmark::State& state)
{
    plan_publisher source;
    source.publish(testing::make_numbered_plan(
        1, static_cast<std::size_t>(state.range(0))));
    std::size_t bytes = 0;
    for ([[maybe_unused]] const auto& iteration : state)
    {
        plan_copy copy;
        bytes = request_plan(copy, source);
    }
    set_bytes(state, bytes);
}

void entry_takes_one_change(benchmark::State& state)
{
    plan_publisher source;
    auto plan = testing::make_numbered_plan(
        1, static_cast<std::size_t>(state.range(0)));
    source.publish(plan);
    plan_copy copy;
    request_plan(copy, source);
    std::size_t bytes = 0;
    for ([[maybe_unused]] const auto& iteration : state)
    {
        state.PauseTiming();
        plan = change_one_route(*plan);
        source.publish(plan);
        state.ResumeTiming();
        bytes = request_plan(copy, source);
    }
    set_bytes(state, bytes);
}

void control_publishes_one_change(benchmark::State& state)
{
    plan_publisher source;
    auto plan = testing::make_numbered_plan(
        1, static_cast<std::size_t>(state.range(0)));
    source.publish(plan);
    for ([[maybe_unused]] const auto& iteration : state)
    {
        state.PauseTiming();
        plan = change_one_route(*plan);
        state.ResumeTiming();
        source.publish(plan);
    }
}

constexpr std::int64_t small_plan = 1000;
constexpr std::int64_t large_plan = 10000;

BENCHMARK(entry_takes_whole_plan)->Arg(small_plan)->Arg(large_plan);
BENCHMARK(entry_takes_one_change)->Arg(small_plan)->Arg(large_plan);
BENCHMARK(control_publishes_one_change)->Arg(small_plan)->Arg(large_plan);

} // namespace

} // namespace boragestand::coordination

BENCHMARK_MAIN();
