#include "state/plan_comparison.hpp"

#include <map>

namespace boragestand::state
{

namespace
{

// Packets of open flows go to the upstream that their token names, whatever
// the plan is.
constexpr const char* flows_stay = "open flows stay until they end";

using routes_by_address = std::map<transport::endpoint, const service_route*>;

routes_by_address index_routes(const routing_plan& plan)
{
    routes_by_address routes;
    for (const auto& route : plan.routes)
    {
        routes.try_emplace(route.address, &route);
    }
    return routes;
}

std::map<std::string_view, const planned_service*>
index_services(const routing_plan& plan)
{
    std::map<std::string_view, const planned_service*> services;
    for (const auto& service : plan.services)
    {
        services.try_emplace(service.name, &service);
    }
    return services;
}

std::string split_of(const service_route& route)
{
    std::string text;
    for (const auto& each : route.services)
    {
        text += (text.empty() ? "\"" : ", \"") + each.service + "\" " +
                std::to_string(each.weight);
    }
    return text.empty() ? "none" : text;
}

bool gives_flows_to(const routing_plan& plan, std::string_view service)
{
    for (const auto& route : plan.routes)
    {
        for (const auto& each : route.services)
        {
            if (each.service == service && each.weight > 0)
            {
                return true;
            }
        }
    }
    return false;
}

/// Collects the differences of one route or service.
class difference_list
{
public:
    explicit difference_list(std::vector<plan_finding>& findings)
        : findings_(findings)
    {
    }

    void add(finding_severity severity, const std::string& place,
             std::string text)
    {
        findings_.push_back({severity, place, std::move(text)});
    }

    void add_change(const std::string& place, const char* name,
                    const std::string& from, const std::string& to,
                    const std::string& meaning)
    {
        if (from != to)
        {
            add(finding_severity::note, place,
                std::string("changes ") + name + " from " + from + " to " + to +
                    ": " + meaning);
        }
    }

private:
    std::vector<plan_finding>& findings_;
};

void compare_versions(const routing_plan& in_force,
                      const routing_plan& proposed, difference_list& found)
{
    if (proposed.version > in_force.version)
    {
        return;
    }
    if (proposed == in_force)
    {
        found.add(finding_severity::note, "version",
                  "and content are those of the other plan: sending it "
                  "changes nothing");
        return;
    }
    found.add(finding_severity::error, "version",
              "is " + std::to_string(proposed.version) +
                  ", so the plan is acknowledged but has no effect; expected "
                  "above " +
                  std::to_string(in_force.version));
}

void compare_route(const service_route& from, const service_route& to,
                   difference_list& found)
{
    const auto place = place_of(to);
    const std::string limits_apply =
        "open flows stay, their next packets are handled by the new value";
    found.add_change(place, "its name", place_of(from), place,
                     "open flows stay");
    found.add_change(place, "the services of new flows", split_of(from),
                     split_of(to),
                     std::string(flows_stay) + " on their upstreams");
    found.add_change(place, "its kind", std::string(to_text(from.kind)),
                     std::string(to_text(to.kind)), limits_apply);
    found.add_change(place, "its timeout in ms",
                     std::to_string(from.timeout_ms),
                     std::to_string(to.timeout_ms), limits_apply);
    found.add_change(place, "its objective in ms",
                     std::to_string(from.target_latency_ms),
                     std::to_string(to.target_latency_ms), limits_apply);
    found.add_change(place, "its priority", std::to_string(from.priority),
                     std::to_string(to.priority), limits_apply);
}

void compare_routes(const routing_plan& in_force, const routing_plan& proposed,
                    difference_list& found)
{
    const auto before = index_routes(in_force);
    const auto after = index_routes(proposed);
    for (const auto& [address, route] : after)
    {
        const auto former = before.find(address);
        if (former == before.end())
        {
            found.add(finding_severity::note, place_of(*route),
                      "newly serves " + transport::to_string(address) +
                          ": new flows are placed on " + split_of(*route));
            continue;
        }
        compare_route(*former->second, *route, found);
    }
    for (const auto& [address, route] : before)
    {
        if (!after.contains(address))
        {
            found.add(finding_severity::warning, place_of(*route),
                      "no longer serves " + transport::to_string(address) +
                          ": new flows are reset; " + flows_stay +
                          ", without the limits of the route");
        }
    }
}

void compare_service(const planned_service& from, const planned_service& to,
                     difference_list& found)
{
    const auto place = place_of(to);
    found.add_change(place, "its health path", "\"" + from.health_path + "\"",
                     "\"" + to.health_path + "\"", "open flows stay");
    found.add_change(place, "its connections per upstream",
                     std::to_string(from.max_connections),
                     std::to_string(to.max_connections), "open flows stay");
    found.add_change(place, "its warm-up time in ms",
                     std::to_string(from.warmup_ms),
                     std::to_string(to.warmup_ms),
                     "open flows stay, new ones are paced by it");
    found.add_change(place, "its warm-up rate in requests per 1000 s",
                     std::to_string(from.warmup_requests_per_1000_s),
                     std::to_string(to.warmup_requests_per_1000_s),
                     "open flows stay, new ones are paced by it");
}

void compare_services(const routing_plan& in_force,
                      const routing_plan& proposed, difference_list& found)
{
    const auto before = index_services(in_force);
    const auto after = index_services(proposed);
    for (const auto& [name, service] : after)
    {
        const auto former = before.find(name);
        if (former == before.end())
        {
            found.add(finding_severity::note, place_of(*service),
                      "is added: no flows are open");
            continue;
        }
        compare_service(*former->second, *service, found);
    }
    for (const auto& [name, service] : before)
    {
        if (!after.contains(name))
        {
            found.add(finding_severity::warning, place_of(*service),
                      std::string("is removed: it gets no new flows; ") +
                          flows_stay);
        }
        else if (gives_flows_to(in_force, name) &&
                 !gives_flows_to(proposed, name))
        {
            found.add(finding_severity::warning, place_of(*service),
                      std::string("gets no new flows any more; ") + flows_stay);
        }
    }
}

} // namespace

std::vector<plan_finding> compare_plans(const routing_plan& in_force,
                                        const routing_plan& proposed)
{
    std::vector<plan_finding> findings;
    difference_list found(findings);
    compare_versions(in_force, proposed, found);
    compare_routes(in_force, proposed, found);
    compare_services(in_force, proposed, found);
    if (in_force.idle_timeout_ms != proposed.idle_timeout_ms)
    {
        found.add_change("plan", "the idle timeout in ms",
                         std::to_string(in_force.idle_timeout_ms),
                         std::to_string(proposed.idle_timeout_ms),
                         "open flows stay");
    }
    return findings;
}

} // namespace boragestand::state
