#include "table_routing.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::model
{

using namespace std::chrono_literals;

namespace
{

// Changes reach an instance after a random delay below these maxima.
constexpr duration max_gossip_delay = 500ms;
constexpr duration max_configuration_delay = 2s;

std::uint64_t hash_of_flow(const coordination::packet_event& event)
{
    protocol::flow_key key;
    key.service = model_service;
    key.caller = event.packet.source;
    key.destination = event.packet.destination;
    key.protocol = event.packet.protocol;
    return protocol::hash_of(key);
}

std::uint64_t encoded_size(const protocol::upstream_record& record)
{
    protocol::entry_envelope envelope;
    envelope.message = protocol::upstream_batch{{record}};
    const auto encoded = protocol::encode_entry_message(envelope);
    return encoded ? encoded->size() : 0;
}

} // namespace

table_routing::table_routing(event_queue& events, std::uint64_t seed,
                             bool with_cache, delivery deliver)
    : events_(events)
    , random_(seed)
    , with_cache_(with_cache)
    , deliver_(std::move(deliver))
    , instances_(owner_count + 1)
{
    for (unsigned instance = 1; instance <= owner_count; ++instance)
    {
        start(instance);
    }
}

void table_routing::handle_packet(unsigned instance,
                                  const coordination::packet_event& event)
{
    table_instance& own = instances_[instance];
    if (!own.running)
    {
        return;
    }
    const std::uint64_t hash = hash_of_flow(event);
    const auto cached = own.cache.find(hash);
    if (with_cache_ && cached != own.cache.end())
    {
        deliver_(instance, cached->second, event);
        return;
    }
    std::vector<protocol::settled_upstream> set;
    for (const auto& [record, weight] : own.directory.ready(events_.now()))
    {
        set.push_back({record->upstream, weight});
    }
    const auto choice = coordination::rendezvous_choice(set, hash);
    if (!choice)
    {
        return;
    }
    own.cache.emplace(hash, *choice);
    deliver_(instance, *choice, event);
}

void table_routing::announce(unsigned instance,
                             const protocol::upstream_record& record)
{
    instances_[instance].directory.apply(record, events_.now());
    for (unsigned other = 1; other <= owner_count; ++other)
    {
        if (other == instance || !connected(instance, other))
        {
            continue;
        }
        control_bytes_ += encoded_size(record);
        const duration delay(random_.below(
            static_cast<std::uint64_t>(max_gossip_delay.count())));
        events_.schedule_after(
            delay, [this, other, record]
            { instances_[other].directory.apply(record, events_.now()); });
    }
}

void table_routing::configure(
    std::shared_ptr<const state::configuration> configuration)
{
    configuration_ = std::move(configuration);
    for (table_instance& instance : instances_)
    {
        const duration delay(random_.below(
            static_cast<std::uint64_t>(max_configuration_delay.count())));
        events_.schedule_after(
            delay, [this, &instance]
            { instance.directory.apply(configuration_->overrides); });
    }
}

void table_routing::start(unsigned instance)
{
    const auto peer = std::find_if(instances_.begin(), instances_.end(),
                                   [](const table_instance& candidate)
                                   { return candidate.running; });
    // A starting instance copies the directory of a running peer.
    instances_[instance] = peer == instances_.end()
                               ? table_instance{}
                               : table_instance{true, peer->directory, {}};
    instances_[instance].running = true;
    if (configuration_)
    {
        instances_[instance].directory.apply(configuration_->overrides);
    }
}

void table_routing::stop(unsigned instance)
{
    kill(instance);
}

void table_routing::kill(unsigned instance)
{
    instances_[instance].running = false;
    instances_[instance].cache.clear();
}

bool table_routing::runs(unsigned instance) const
{
    return instances_[instance].running;
}

bool table_routing::connected(unsigned left, unsigned right) const
{
    return partition_after_ == 0 ||
           (left > partition_after_) == (right > partition_after_);
}

} // namespace boragestand::model
