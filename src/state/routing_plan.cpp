#include "state/routing_plan.hpp"

#include "state/routing_plan_fields.hpp"

#include <set>

namespace boragestand::state
{

namespace
{

std::string to_string(const std::vector<std::byte>& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::byte> to_bytes(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

tl::unexpected<error> invalid_plan(std::string message)
{
    return failure(error_kind::invalid_argument, std::move(message));
}

result<void> check_route(const service_route& route,
                         const std::set<std::string_view>& services)
{
    const std::string name = "route \"" + route.name + "\"";
    if (route.timeout_ms == 0)
    {
        return invalid_plan(name + " has a timeout of 0");
    }
    if (route.services.empty())
    {
        return invalid_plan(name + " names no service");
    }
    std::uint64_t weights = 0;
    for (const auto& each : route.services)
    {
        if (!services.contains(each.service))
        {
            return invalid_plan(name + " names the unknown service \"" +
                                each.service + "\"");
        }
        weights += each.weight;
    }
    if (weights == 0)
    {
        return invalid_plan(name + " has no service with a weight above 0");
    }
    return {};
}

} // namespace

std::string_view to_text(request_kind kind)
{
    switch (kind)
    {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::non_idempotent:
        return "non_idempotent";
    case request_kind::download:
        return "download";
    case request_kind::upload:
        return "upload";
    case request_kind::unknown:
        break;
    }
    return "unknown";
}

result<void> check_plan(const routing_plan& plan)
{
    if (plan.version == 0)
    {
        return invalid_plan("the version must be above 0");
    }
    std::set<std::string_view> services;
    for (const auto& each : plan.services)
    {
        if (!services.insert(each.name).second)
        {
            return invalid_plan("service \"" + each.name +
                                "\" is defined twice");
        }
    }
    std::set<transport::endpoint> addresses;
    for (const auto& route : plan.routes)
    {
        const auto checked = check_route(route, services);
        if (!checked)
        {
            return checked;
        }
        if (!addresses.insert(route.address).second)
        {
            return invalid_plan("route \"" + route.name +
                                "\" repeats the address " +
                                transport::to_string(route.address));
        }
    }
    return {};
}

std::string encode_plan(const submitted_plan& plan)
{
    return to_string(codec::encode(plan));
}

std::string encode_plan(const routing_plan& plan)
{
    return to_string(codec::encode(plan));
}

result<submitted_plan> decode_submitted_plan(std::string_view bytes)
{
    return codec::decode<submitted_plan>(
        to_bytes(bytes), protocol::max_agreement_message_size, "plan");
}

result<routing_plan> decode_plan(std::string_view bytes)
{
    return codec::decode<routing_plan>(
        to_bytes(bytes), protocol::max_agreement_message_size, "plan");
}

plan_outcome plan_register::apply(submitted_plan plan)
{
    if (plan.plan.version <= current_->plan.version)
    {
        return plan_outcome::superseded;
    }
    current_ = std::make_shared<const submitted_plan>(std::move(plan));
    return plan_outcome::in_force;
}

} // namespace boragestand::state
