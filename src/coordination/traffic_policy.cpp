#include "coordination/traffic_policy.hpp"

#include "coordination/service_traffic.hpp"

#include <map>

namespace boragestand::coordination
{

struct traffic_policy::implementation
{
    implementation(instance_id own_id, const traffic_settings& limits)
        : self(own_id), settings(limits)
    {
    }

    service_traffic& service_of(service_id id, time_point now)
    {
        const auto found = services.find(id);
        if (found != services.end())
        {
            return found->second;
        }
        auto& added = services.emplace(id, service_traffic(id)).first->second;
        if (configuration)
        {
            added.apply(*configuration, now);
        }
        return added;
    }

    const service_traffic* find(service_id id) const
    {
        const auto found = services.find(id);
        return found == services.end() ? nullptr : &found->second;
    }

    instance_id self;
    traffic_settings settings;
    std::shared_ptr<const state::configuration> configuration;
    std::map<service_id, service_traffic> services;
};

traffic_policy::traffic_policy(instance_id self,
                               const traffic_settings& settings)
    : implementation_(std::make_unique<implementation>(self, settings))
{
}

traffic_policy::~traffic_policy() = default;
traffic_policy::traffic_policy(traffic_policy&&) noexcept = default;
traffic_policy& traffic_policy::operator=(traffic_policy&&) noexcept = default;

void traffic_policy::apply(
    std::shared_ptr<const state::configuration> configuration, time_point now,
    wall_time /*wall_now*/)
{
    auto& own = *implementation_;
    if (!configuration ||
        (own.configuration &&
         configuration->revision <= own.configuration->revision))
    {
        return;
    }
    own.configuration = std::move(configuration);
    for (const state::service& defined : own.configuration->services)
    {
        own.service_of(defined.id, now);
    }
    for (auto& [id, service] : own.services)
    {
        service.apply(*own.configuration, now);
    }
}

bool traffic_policy::apply(const protocol::upstream_record& record,
                           time_point now)
{
    return implementation_->service_of(record.service, now).apply(record, now);
}

void traffic_policy::apply(instance_id /*from*/,
                           const protocol::load_report& /*report*/,
                           time_point /*now*/)
{
}

void traffic_policy::apply(const endpoint_report& /*report*/,
                           time_point /*now*/)
{
}

void traffic_policy::forget(instance_id /*instance*/) {}

admission traffic_policy::admit(const flow_arrival& arrival, time_point now)
{
    const auto found = implementation_->services.find(arrival.service);
    if (found == implementation_->services.end())
    {
        return dropped{drop_reason::unknown_service};
    }
    return found->second.admit(arrival, now);
}

bool traffic_policy::cancel(hold_ticket /*ticket*/)
{
    return false;
}

void traffic_policy::note(const flow_evidence& /*evidence*/, time_point /*now*/)
{
}

std::vector<hold_outcome> traffic_policy::poll(time_point now,
                                               wall_time /*wall_now*/)
{
    for (auto& [id, service] : implementation_->services)
    {
        service.advance(now);
    }
    return {};
}

std::vector<director_request>
traffic_policy::director_requests(time_point /*now*/)
{
    return {};
}

void traffic_policy::director_acknowledged(service_id /*service*/,
                                           std::uint64_t /*episode*/)
{
}

protocol::load_report traffic_policy::report(time_point /*now*/)
{
    return {};
}

std::span<const protocol::settled_upstream>
traffic_policy::active_set(service_id service) const
{
    const auto* found = implementation_->find(service);
    return found == nullptr ? std::span<const protocol::settled_upstream>()
                            : found->active_set();
}

std::optional<transport::endpoint>
traffic_policy::address_of(service_id service, upstream_id upstream) const
{
    const auto* found = implementation_->find(service);
    const auto* record =
        found == nullptr ? nullptr : found->directory().find(upstream);
    if (record == nullptr)
    {
        return std::nullopt;
    }
    return record->address;
}

std::vector<protocol::upstream_record>
traffic_policy::records(time_point now) const
{
    std::vector<protocol::upstream_record> all;
    for (const auto& [id, service] : implementation_->services)
    {
        const auto known = service.directory().records(now);
        all.insert(all.end(), known.begin(), known.end());
    }
    return all;
}

std::vector<traffic_note> traffic_policy::take_notes()
{
    return {};
}

} // namespace boragestand::coordination
