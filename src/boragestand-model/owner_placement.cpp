#include "owner_placement.hpp"

#include <utility>

namespace boragestand::model
{

using namespace std::chrono_literals;

owner_placement::owner_placement(event_queue& events,
                                 const network_delays& delays,
                                 callbacks actions)
    : events_(events), delays_(delays), callbacks_(std::move(actions))
{
    const auto configuration =
        std::make_shared<const state::configuration>(model_configuration());
    for (unsigned owner = 0; owner < owner_count; ++owner)
    {
        auto& policy = owners_.emplace_back(instance_id{owner + 1},
                                            coordination::traffic_settings{});
        policy.apply(configuration, events.now(), wall_now());
        for (unsigned index = 0; index < upstream_count; ++index)
        {
            policy.apply(make_upstream_record(index), events.now());
        }
    }
    for (unsigned owner = 0; owner < owner_count; ++owner)
    {
        // Offsets keep the timers of the owners from firing at the same time.
        events_.schedule_after(
            owner * 1700us, [this, owner]
            { events_.schedule_every(10ms, [this, owner] { poll(owner); }); });
        events_.schedule_after(owner * 41ms,
                               [this, owner] {
                                   events_.schedule_every(
                                       250ms,
                                       [this, owner] { send_report(owner); });
                               });
    }
}

void owner_placement::arrive(const coordination::flow_arrival& arrival)
{
    auto& policy = owners_[owner_of(arrival.flow_hash)];
    apply_decision(arrival.ticket.value, policy.admit(arrival, events_.now()));
}

void owner_placement::apply(const coordination::flow_observation& observation)
{
    const unsigned owner = owner_of(observation.flow_hash);
    owners_[owner].record(observation, events_.now());
}

void owner_placement::apply(const coordination::endpoint_report& report)
{
    for (auto& policy : owners_)
    {
        policy.apply(report, events_.now());
    }
}

void owner_placement::apply(const protocol::upstream_record& record)
{
    for (auto& policy : owners_)
    {
        policy.apply(record, events_.now());
    }
}

unsigned owner_placement::owner_of(std::uint64_t flow_hash)
{
    return static_cast<unsigned>(mix_hashes(flow_hash, 0x6f776e6572ULL) %
                                 owner_count);
}

void owner_placement::poll(unsigned owner)
{
    for (const auto& outcome : owners_[owner].poll(events_.now(), wall_now()))
    {
        apply_decision(outcome.ticket.value, outcome.decision);
    }
}

void owner_placement::send_report(unsigned owner)
{
    const auto report = owners_[owner].make_load_report(events_.now());
    events_.schedule_after(
        delays_.internal,
        [this, owner, report]
        {
            for (unsigned other = 0; other < owner_count; ++other)
            {
                if (other != owner)
                {
                    owners_[other].apply(instance_id{owner + 1}, report,
                                         events_.now());
                }
            }
        });
}

void owner_placement::apply_decision(std::uint64_t ticket,
                                     const coordination::admission& decision)
{
    if (const auto* choice = std::get_if<coordination::placed>(&decision))
    {
        callbacks_.placed(ticket, choice->upstream);
    }
    else if (std::holds_alternative<coordination::dropped>(decision))
    {
        callbacks_.dropped(ticket);
    }
    else if (std::holds_alternative<coordination::refused>(decision))
    {
        callbacks_.refused(ticket);
    }
}

wall_time owner_placement::wall_now() const
{
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
        events_.now().time_since_epoch()));
}

} // namespace boragestand::model
