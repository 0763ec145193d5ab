#include "plan_fixture.hpp"

#include <rapidcheck/gtest.h>

namespace boragestand::coordination
{

namespace
{

/// Adds, removes and changes some routes, and sometimes the settings.
void change_randomly(state::routing_plan& plan)
{
    const auto changes = *rc::gen::inRange<std::size_t>(0, 6);
    for (std::size_t i = 0; i < changes; ++i)
    {
        const auto number = *rc::gen::inRange<std::size_t>(0, 1200);
        const auto address = make_numbered_route(number).address;
        const auto found = std::find_if(plan.routes.begin(), plan.routes.end(),
                                        [&](const auto& each)
                                        { return each.address == address; });
        const bool removes = *rc::gen::arbitrary<bool>();
        if (found == plan.routes.end())
        {
            plan.routes.push_back(make_numbered_route(number));
        }
        else if (removes)
        {
            plan.routes.erase(found);
        }
        else
        {
            ++found->timeout_ms;
        }
    }
    plan.idle_timeout_ms += *rc::gen::inRange(0, 2) * 100;
}

} // namespace

// Guards against a plan that is put into force incomplete, goes back or differs
// from what operators have submitted, whatever the order in which control
// instances learn of versions, restart and answer.
RC_GTEST_PROP(plan_transfer, reaches_the_newest_plan_over_any_sources, ())
{
    constexpr std::size_t control_instances = 3;
    std::vector<plan_publisher> sources(control_instances);
    std::shared_ptr<const state::routing_plan> newest =
        make_numbered_plan(1, *rc::gen::inRange<std::size_t>(0, 900));
    std::map<std::uint64_t, std::shared_ptr<const state::routing_plan>>
        submitted{{1, newest}};
    plan_reader reader;
    const auto check = [&]
    {
        if (reader.copy.version() > 0)
        {
            RC_ASSERT(reader.plan.is(*submitted.at(reader.copy.version())));
        }
    };
    const auto steps = *rc::gen::inRange<std::size_t>(1, 60);
    for (std::size_t step = 0; step < steps; ++step)
    {
        auto& source =
            sources[*rc::gen::inRange<std::size_t>(0, control_instances)];
        switch (*rc::gen::inRange(0, 8))
        {
        case 0:
            newest = change_plan(*newest, change_randomly);
            submitted[newest->version] = newest;
            break;
        case 1:
            source.publish(newest);
            break;
        case 2:
            source = {};
            break;
        default:
            if (source.version() > 0)
            {
                reader.request_page(source);
            }
        }
        check();
    }
    sources[0].publish(newest);
    for (int page = 0; page < 100 && reader.copy.version() < newest->version;
         ++page)
    {
        reader.request_page(sources[0]);
    }
    RC_ASSERT(reader.plan.is(*newest));
}

} // namespace boragestand::coordination
