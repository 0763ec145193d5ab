#pragma once

#include "../support/numbered_plan.hpp"
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace boragestand::coordination
{

using testing::make_numbered_plan;
using testing::make_numbered_route;

/// The next version of a plan, with a change.
inline std::shared_ptr<state::routing_plan>
change_plan(const state::routing_plan& former,
            const std::function<void(state::routing_plan&)>& change)
{
    auto plan = std::make_shared<state::routing_plan>(former);
    ++plan->version;
    change(*plan);
    return plan;
}

/// What a transfer has cost.
struct transfer_cost
{
    std::size_t pages{0};
    std::size_t bytes{0};
};

/// A plan as it is in force after the updates of a copy.
struct plan_in_force
{
    std::uint64_t version{0};
    std::map<transport::endpoint, state::service_route> routes;
    state::plan_settings settings;

    void apply(const plan_update& update)
    {
        EXPECT_GT(update.version, version);
        version = update.version;
        for (const auto& address : update.removed)
        {
            EXPECT_EQ(routes.erase(address), 1U);
        }
        for (const auto& route : update.routes)
        {
            routes[route->address] = *route;
        }
        settings = update.settings.value_or(settings);
    }

    /// Whether it equals a plan.
    bool is(const state::routing_plan& plan) const
    {
        return version == plan.version &&
               settings == state::settings_of(plan) &&
               routes.size() == plan.routes.size() &&
               std::all_of(plan.routes.begin(), plan.routes.end(),
                           [this](const auto& route)
                           {
                               const auto found = routes.find(route.address);
                               return found != routes.end() &&
                                      found->second == route;
                           });
    }
};

/// An entry instance that requests pages.
struct plan_reader
{
    plan_copy copy;
    plan_in_force plan;
    transfer_cost cost;

    /// Requests one page; returns whether a plan is complete now.
    bool request_page(plan_publisher& source)
    {
        const auto request =
            decode_plan_request(encode_message(copy.make_request()));
        EXPECT_TRUE(request);
        const auto bytes = source.answer(*request);
        ++cost.pages;
        cost.bytes += bytes.size();
        const auto page = decode_plan_page(bytes);
        EXPECT_TRUE(page);
        const auto update = copy.apply(*page);
        EXPECT_TRUE(update) << update.error().message;
        if (!update || !*update)
        {
            return false;
        }
        plan.apply(**update);
        return true;
    }

    /// Requests pages until a plan is complete; returns what that has cost.
    transfer_cost request_plan(plan_publisher& source)
    {
        constexpr std::size_t limit = 1000;
        cost = {};
        while (cost.pages < limit && !request_page(source))
        {
        }
        EXPECT_LT(cost.pages, limit);
        return cost;
    }
};

} // namespace boragestand::coordination
