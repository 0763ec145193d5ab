#pragma once

#include "coordination/coordination.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace boragestand::coordination
{

inline state::service_route make_route(std::size_t number,
                                       std::uint32_t timeout_ms = 1000)
{
    state::service_route route;
    // The hash stands for names that do not compress.
    route.name = "r-" + std::to_string(hash_text(std::to_string(number)));
    route.address = {0xc6120000U + static_cast<std::uint32_t>(number), 443};
    route.services = {{"desk", 1}};
    route.timeout_ms = timeout_ms;
    return route;
}

inline std::shared_ptr<state::routing_plan> make_plan(std::uint64_t version,
                                                      std::size_t routes)
{
    auto plan = std::make_shared<state::routing_plan>();
    plan->version = version;
    plan->services = {{"desk", "", 0}};
    for (std::size_t number = 0; number < routes; ++number)
    {
        plan->routes.push_back(make_route(number));
    }
    return plan;
}

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
