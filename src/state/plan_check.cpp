#include "state/plan_check.hpp"

#include <cmath>
#include <map>
#include <set>

namespace boragestand::state
{

namespace
{

// Sizes of the requests of the present deployments. Only requests pass the
// link of an entry instance, so a download counts by its short request.
constexpr double usual_upload_bytes = 80000;
constexpr double usual_request_bytes = 900;

class finding_list
{
public:
    void add(finding_severity severity, std::string place, std::string text)
    {
        findings_.push_back({severity, std::move(place), std::move(text)});
    }

    void add_error(std::string place, std::string text)
    {
        add(finding_severity::error, std::move(place), std::move(text));
    }

    void add_warning(std::string place, std::string text)
    {
        add(finding_severity::warning, std::move(place), std::move(text));
    }

    std::vector<plan_finding> take() { return std::move(findings_); }

private:
    std::vector<plan_finding> findings_;
};

std::string quoted(const std::string& name)
{
    return "\"" + name + "\"";
}

std::string milliseconds(std::uint64_t value)
{
    return std::to_string(value) + " ms";
}

void find_route_errors(const service_route& route,
                       const std::set<std::string_view>& services,
                       finding_list& findings)
{
    if (route.timeout_ms == 0)
    {
        findings.add_error(place_of(route),
                           "has a timeout of 0 ms; expected above 0");
    }
    if (route.services.empty())
    {
        findings.add_error(place_of(route),
                           "names no service; expected at least one");
        return;
    }
    std::uint64_t weights = 0;
    for (const auto& each : route.services)
    {
        if (!services.contains(each.service))
        {
            findings.add_error(place_of(route),
                               "names the unknown service " +
                                   quoted(each.service) +
                                   "; expected one that the plan defines");
        }
        weights += each.weight;
    }
    if (weights == 0)
    {
        findings.add_error(place_of(route),
                           "has no service with a weight above 0; expected at "
                           "least one");
    }
}

// Why callers cannot reach an address; empty if they can.
std::string_view unreachable_cause(const transport::endpoint& address)
{
    constexpr std::uint32_t loopback = 127;
    constexpr std::uint32_t first_multicast = 224;
    constexpr unsigned first_octet_shift = 24;
    const auto first_octet = address.address >> first_octet_shift;
    if (address.port == 0)
    {
        return "port 0";
    }
    if (first_octet == 0)
    {
        return "an unspecified address";
    }
    if (first_octet == loopback)
    {
        return "a loopback address";
    }
    return first_octet >= first_multicast ? "a multicast or reserved address"
                                          : "";
}

void find_matching_oddities(const service_route& route, finding_list& findings)
{
    const auto cause = unreachable_cause(route.address);
    if (!cause.empty())
    {
        findings.add_warning(
            place_of(route),
            "can never match: " + transport::to_string(route.address) + " is " +
                std::string(cause) + "; expected a unicast address and a port");
    }
    std::set<std::string_view> seen;
    for (const auto& each : route.services)
    {
        if (!seen.insert(each.service).second)
        {
            findings.add_warning(place_of(route),
                                 "names service " + quoted(each.service) +
                                     " again, the weights add up; expected "
                                     "one entry");
        }
        if (each.weight == 0)
        {
            findings.add_warning(place_of(route),
                                 "gives service " + quoted(each.service) +
                                     " weight 0, so it gets no new flows; "
                                     "expected above 0 or no entry");
        }
    }
}

void find_link_oddities(const service_route& route, double link_mbps,
                        finding_list& findings)
{
    if (link_mbps <= 0)
    {
        return;
    }
    const double size = route.kind == request_kind::upload
                            ? usual_upload_bytes
                            : usual_request_bytes;
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_ms_of_mbps = 1000;
    const double time =
        std::ceil(size * bits_per_byte / (link_mbps * bits_per_ms_of_mbps));
    const bool fits_timeout = time <= route.timeout_ms;
    const bool fits_objective =
        route.target_latency_ms == 0 || time <= route.target_latency_ms;
    if (fits_timeout && fits_objective)
    {
        return;
    }
    std::string text = "usually sends ";
    text += std::to_string(static_cast<std::uint64_t>(size)) +
            " bytes, which an idle link carries in " +
            std::to_string(static_cast<std::uint64_t>(time)) + " ms; expected ";
    text += fits_timeout
                ? "at most the objective of " +
                      milliseconds(route.target_latency_ms)
                : "at most the timeout of " + milliseconds(route.timeout_ms);
    findings.add(fits_timeout ? finding_severity::note
                              : finding_severity::warning,
                 place_of(route), std::move(text));
}

void find_time_oddities(const service_route& route,
                        std::uint32_t idle_timeout_ms, finding_list& findings)
{
    if (route.timeout_ms == 0)
    {
        return;
    }
    if (route.timeout_ms < route.target_latency_ms)
    {
        findings.add_warning(place_of(route),
                             "has a timeout of " +
                                 milliseconds(route.timeout_ms) +
                                 " under its objective; expected at least " +
                                 milliseconds(route.target_latency_ms));
    }
    if (idle_timeout_ms > 0 && idle_timeout_ms < route.timeout_ms)
    {
        findings.add_warning(place_of(route),
                             "has a timeout of " +
                                 milliseconds(route.timeout_ms) +
                                 " over the idle timeout of the plan; "
                                 "expected at most " +
                                 milliseconds(idle_timeout_ms));
    }
}

// Service names with the sum of their weights in all routes.
std::map<std::string_view, std::uint64_t>
weights_by_service(const routing_plan& plan)
{
    std::map<std::string_view, std::uint64_t> weights;
    for (const auto& route : plan.routes)
    {
        for (const auto& each : route.services)
        {
            weights[each.service] += each.weight;
        }
    }
    return weights;
}

void find_warmup_oddities(const planned_service& service,
                          finding_list& findings)
{
    const std::uint64_t rate = service.warmup_requests_per_1000_s;
    if (rate == 0)
    {
        return;
    }
    if (service.warmup_ms == 0)
    {
        findings.add_warning(place_of(service),
                             "has a warm-up rate without a warm-up time; "
                             "expected a time above 0 ms");
        return;
    }
    constexpr std::uint64_t ms_per_1000_s = 1000000;
    if (rate * service.warmup_ms < ms_per_1000_s)
    {
        findings.add_warning(
            place_of(service),
            "has a warm-up rate of " + std::to_string(rate) +
                " requests per 1000 s, less than one request in its warm-up "
                "time of " +
                milliseconds(service.warmup_ms) + "; expected at least " +
                std::to_string((ms_per_1000_s + service.warmup_ms - 1) /
                               service.warmup_ms));
    }
}

void find_service_oddities(const routing_plan& plan, finding_list& findings)
{
    const auto weights = weights_by_service(plan);
    for (const auto& service : plan.services)
    {
        if (service.name.empty())
        {
            findings.add_warning(place_of(service),
                                 "has an empty name; expected a name");
        }
        if (!weights.contains(service.name))
        {
            findings.add_warning(place_of(service),
                                 "is named by no route, so it gets no flows; "
                                 "expected at least one route");
        }
        find_warmup_oddities(service, findings);
    }
}

} // namespace

std::string_view to_text(finding_severity severity)
{
    switch (severity)
    {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::note:
        break;
    }
    return "note";
}

std::string to_string(const plan_finding& finding)
{
    return finding.place + " " + finding.text;
}

std::string place_of(const service_route& route)
{
    return "route " + quoted(route.name);
}

std::string place_of(const planned_service& service)
{
    return "service " + quoted(service.name);
}

std::vector<plan_finding> find_plan_errors(const routing_plan& plan)
{
    finding_list findings;
    if (plan.version == 0)
    {
        findings.add_error("version", "is 0; expected above 0");
    }
    std::set<std::string_view> services;
    for (const auto& each : plan.services)
    {
        if (!services.insert(each.name).second)
        {
            findings.add_error(place_of(each),
                               "is defined twice; expected distinct names");
        }
    }
    std::map<transport::endpoint, const service_route*> owners;
    for (const auto& route : plan.routes)
    {
        find_route_errors(route, services, findings);
        const auto [owner, added] = owners.try_emplace(route.address, &route);
        if (!added)
        {
            findings.add_error(place_of(route),
                               "repeats the address " +
                                   transport::to_string(route.address) +
                                   " of " + place_of(*owner->second) +
                                   "; expected distinct addresses");
        }
    }
    return findings.take();
}

std::vector<plan_finding> find_plan_oddities(const routing_plan& plan,
                                             const plan_check_limits& limits)
{
    finding_list findings;
    if (plan.routes.empty())
    {
        findings.add_warning("plan", "has no routes, so every new flow is "
                                     "reset; expected at least one");
    }
    std::set<std::string_view> names;
    for (const auto& route : plan.routes)
    {
        if (!names.insert(route.name).second)
        {
            findings.add_warning(place_of(route),
                                 "has the name of an earlier route; expected "
                                 "distinct names");
        }
        find_matching_oddities(route, findings);
        find_time_oddities(route, plan.idle_timeout_ms, findings);
        find_link_oddities(route, limits.link_mbps, findings);
    }
    find_service_oddities(plan, findings);
    return findings.take();
}

} // namespace boragestand::state
