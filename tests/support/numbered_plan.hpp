#pragma once

#include "state/state.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace boragestand::testing
{

/// A route to the service "desk"; each number has an address of its own.
inline state::service_route make_numbered_route(std::size_t number,
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

/// A plan with the numbered routes from 0 on.
inline std::shared_ptr<state::routing_plan>
make_numbered_plan(std::uint64_t version, std::size_t routes)
{
    auto plan = std::make_shared<state::routing_plan>();
    plan->version = version;
    plan->services = {{"desk", "", 0}};
    for (std::size_t number = 0; number < routes; ++number)
    {
        plan->routes.push_back(make_numbered_route(number));
    }
    return plan;
}

} // namespace boragestand::testing
