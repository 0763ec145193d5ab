#include "endpoint_prober.hpp"

#include <nlohmann/json.hpp>

namespace boragestand::entry
{

namespace
{

constexpr duration probe_interval = std::chrono::seconds(1);
constexpr duration probe_timeout = std::chrono::milliseconds(800);

} // namespace

endpoint_prober::endpoint_prober(transport::main_loop& loop,
                                 transport::timer_service& timers,
                                 reporter report)
    : loop_(loop)
    , timers_(timers)
    , report_(std::move(report))
    , timer_(timers.every(probe_interval,
                          [this](time_point now) { probe_all(now); }))
{
}

void endpoint_prober::announce(const upstream_announcement& announcement)
{
    const auto& record = announcement.record;
    if (!announcement.health && !announcement.load)
    {
        return;
    }
    probe_state& state = upstreams_[{record.service, record.upstream}];
    state.lease_end =
        timers_.now() + std::chrono::milliseconds(record.lease_ms);
    state.last.service = record.service;
    state.last.upstream = record.upstream;
    if (state.health != announcement.health)
    {
        state.health = announcement.health;
        state.health_client.reset();
    }
    if (state.load != announcement.load)
    {
        state.load = announcement.load;
        state.load_client.reset();
    }
}

void endpoint_prober::withdraw(service_id service, upstream_id upstream)
{
    upstreams_.erase({service, upstream});
}

void endpoint_prober::probe_all(time_point now)
{
    std::erase_if(upstreams_, [now](const auto& entry)
                  { return entry.second.lease_end < now; });
    for (auto& [upstream, state] : upstreams_)
    {
        probe_health(upstream, state);
        probe_load(upstream, state);
    }
}

void endpoint_prober::probe_health(const key& upstream, probe_state& state)
{
    if (!state.health)
    {
        return;
    }
    if (!state.health_client)
    {
        state.health_client = std::make_unique<transport::http2_client>(
            loop_, timers_, state.health->address);
    }
    state.health_client->request(
        {.path = state.health->path}, probe_timeout,
        [this, upstream](const result<transport::http_response>& answer)
        { handle_health_answer(upstream, answer && answer->status == 200); });
}

void endpoint_prober::probe_load(const key& upstream, probe_state& state)
{
    if (!state.load)
    {
        return;
    }
    if (!state.load_client)
    {
        state.load_client = std::make_unique<transport::http2_client>(
            loop_, timers_, state.load->address);
    }
    state.load_client->request(
        {.path = state.load->path}, probe_timeout,
        [this, upstream](const result<transport::http_response>& answer)
        {
            if (answer && answer->status == 200)
            {
                handle_load_answer(upstream, answer->body);
            }
        });
}

void endpoint_prober::handle_health_answer(const key& upstream, bool healthy)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end())
    {
        return;
    }
    found->second.last.healthy = healthy;
    report_(found->second.last);
}

void endpoint_prober::handle_load_answer(const key& upstream,
                                         const std::string& body)
{
    const auto found = upstreams_.find(upstream);
    const auto object = nlohmann::json::parse(body, nullptr, false);
    if (found == upstreams_.end() || !object.is_object())
    {
        return;
    }
    const auto number = [&object](const char* member)
    {
        const auto value = object.find(member);
        return value != object.end() && value->is_number_unsigned()
                   ? value->get<std::uint32_t>()
                   : 0U;
    };
    auto& last = found->second.last;
    last.open = number("open");
    last.running = static_cast<std::uint16_t>(number("running"));
    report_(last);
}

} // namespace boragestand::entry
