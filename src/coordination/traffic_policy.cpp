#include "coordination/traffic_policy.hpp"

#include "coordination/service_traffic.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace boragestand::coordination
{

namespace
{

// Bounds the events that are kept until take_events() is called.
constexpr std::size_t max_pending_events = 1000;

} // namespace

struct traffic_policy::implementation
{
    implementation(instance_id own_id, const traffic_settings& limits)
        : self(own_id), settings(limits)
    {
    }

    service_traffic& service_of(service_id id)
    {
        const auto found = services.find(id);
        if (found != services.end())
        {
            return found->second;
        }
        auto& added = services.emplace(id, service_traffic(self, id, settings))
                          .first->second;
        if (configuration)
        {
            added.apply(*configuration, clock);
        }
        return added;
    }

    service_traffic* find(service_id id)
    {
        const auto found = services.find(id);
        return found == services.end() ? nullptr : &found->second;
    }

    const service_traffic* find(service_id id) const
    {
        const auto found = services.find(id);
        return found == services.end() ? nullptr : &found->second;
    }

    void collect_events()
    {
        for (auto& [id, service] : services)
        {
            auto added = service.take_events();
            if (events.size() + added.size() <= max_pending_events)
            {
                std::move(added.begin(), added.end(),
                          std::back_inserter(events));
            }
        }
    }

    instance_id self;
    traffic_settings settings;
    clock_reading clock;
    std::uint32_t report_sequence{0};
    std::shared_ptr<const state::configuration> configuration;
    std::map<service_id, service_traffic> services;
    std::vector<traffic_event> events;
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
    wall_time wall_now)
{
    auto& impl = *implementation_;
    if (!configuration ||
        (impl.configuration &&
         configuration->revision <= impl.configuration->revision))
    {
        return;
    }
    impl.clock = {now, wall_now};
    impl.configuration = std::move(configuration);
    for (const state::service& defined : impl.configuration->services)
    {
        impl.service_of(defined.id);
    }
    for (auto& [id, service] : impl.services)
    {
        service.apply(*impl.configuration, impl.clock);
    }
}

bool traffic_policy::apply(const protocol::upstream_record& record,
                           time_point now)
{
    return implementation_->service_of(record.service).apply(record, now);
}

void traffic_policy::apply(instance_id from,
                           const protocol::load_report& report, time_point now)
{
    std::map<service_id, std::vector<protocol::upstream_load>> parts;
    for (const protocol::upstream_load& load : report.loads)
    {
        parts[load.service].push_back(load);
    }
    for (auto& [id, service] : implementation_->services)
    {
        service.apply(from, std::move(parts[id]), now);
    }
}

void traffic_policy::apply(const endpoint_report& report, time_point now)
{
    if (auto* service = implementation_->find(report.service))
    {
        service->apply(report, now);
    }
}

void traffic_policy::forget_load_of(instance_id instance)
{
    for (auto& [id, service] : implementation_->services)
    {
        service.forget_load_of(instance);
    }
}

admission traffic_policy::admit(const flow_arrival& arrival, time_point now)
{
    auto* service = implementation_->find(arrival.service);
    if (service == nullptr)
    {
        return dropped{drop_reason::unknown_service};
    }
    return service->admit(arrival, now);
}

bool traffic_policy::cancel(hold_ticket ticket)
{
    auto& services = implementation_->services;
    return std::any_of(services.begin(), services.end(),
                       [ticket](auto& item)
                       { return item.second.cancel(ticket); });
}

void traffic_policy::record(const flow_observation& observation, time_point now)
{
    if (auto* service = implementation_->find(observation.service))
    {
        service->record(observation, now);
    }
}

std::vector<hold_outcome> traffic_policy::poll(time_point now,
                                               wall_time wall_now)
{
    auto& impl = *implementation_;
    impl.clock = {now, wall_now};
    std::vector<hold_outcome> outcomes;
    for (auto& [id, service] : impl.services)
    {
        service.poll(impl.clock, outcomes);
    }
    impl.collect_events();
    return outcomes;
}

std::vector<director_request>
traffic_policy::due_director_requests(time_point now)
{
    std::vector<director_request> due;
    for (auto& [id, service] : implementation_->services)
    {
        if (const auto request = service.due_director_request(now))
        {
            due.push_back(*request);
        }
    }
    return due;
}

void traffic_policy::acknowledge_director_request(service_id service,
                                                  std::uint64_t episode)
{
    if (auto* found = implementation_->find(service))
    {
        found->acknowledge_director_request(episode);
    }
}

protocol::load_report traffic_policy::make_load_report(time_point /*now*/)
{
    auto& impl = *implementation_;
    protocol::load_report report;
    report.sequence = ++impl.report_sequence;
    for (auto& [id, service] : impl.services)
    {
        service.add_to_report(report);
    }
    return report;
}

std::span<const protocol::settled_upstream>
traffic_policy::active_set(service_id service) const
{
    const auto* found = std::as_const(*implementation_).find(service);
    return found == nullptr ? std::span<const protocol::settled_upstream>()
                            : found->active_set();
}

std::optional<transport::endpoint>
traffic_policy::address_of(service_id service, upstream_id upstream) const
{
    const auto* found = std::as_const(*implementation_).find(service);
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
        const auto records = service.directory().records(now);
        all.insert(all.end(), records.begin(), records.end());
    }
    return all;
}

std::vector<traffic_event> traffic_policy::take_events()
{
    implementation_->collect_events();
    return std::exchange(implementation_->events, {});
}

} // namespace boragestand::coordination
