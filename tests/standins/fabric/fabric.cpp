#include "fabric.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

namespace boragestand::standins
{

namespace
{

constexpr std::size_t max_delayed_datagrams = 200000;
constexpr std::size_t max_caller_endpoints = 1000000;

// Limit of the batches read in one loop iteration, so that one direction
// cannot starve the other.
constexpr int max_batches_per_iteration = 8;

} // namespace

fabric::fabric(program& host, const fabric_settings& settings)
    : host_(host)
    , settings_(settings)
    , random_(settings.seed)
    , caller_socket_(
          value_or_exit(transport::udp_socket::bind(settings.callers)))
    , return_socket_(
          value_or_exit(transport::udp_socket::bind(settings.returns)))
{
    reload_entries();
    subscriptions_.push_back(host.loop.watch(
        caller_socket_.fd(), transport::readiness::readable,
        [this](transport::readiness) { receive_from_callers(); }));
    subscriptions_.push_back(host.loop.watch(
        return_socket_.fd(), transport::readiness::readable,
        [this](transport::readiness) { receive_from_entries(); }));
    subscriptions_.push_back(
        host.loop.on_signal(SIGHUP, [this] { reload_entries(); }));
    if (settings.delay + settings.jitter > duration{0})
    {
        subscriptions_.push_back(host.timers.every(
            std::chrono::milliseconds(1),
            [this](time_point now) { send_due_datagrams(now); }));
    }
}

void fabric::reload_entries()
{
    std::vector<transport::endpoint> entries;
    std::ifstream file(settings_.entries_file);
    std::string line;
    while (std::getline(file, line))
    {
        const auto entry = transport::parse_endpoint(line);
        if (!entry)
        {
            std::cerr << entry.error().message << '\n';
            return;
        }
        entries.push_back(*entry);
    }
    if (entries.empty())
    {
        std::cerr << settings_.entries_file << " lists no entry instance\n";
        return;
    }
    entries_ = std::move(entries);
}

void fabric::receive_from_callers()
{
    for (int batch = 0; batch < max_batches_per_iteration; ++batch)
    {
        const auto datagrams = caller_socket_.receive();
        for (const auto& datagram : datagrams)
        {
            const auto outer = protocol::decode_geneve(datagram.bytes);
            const auto inner = outer ? protocol::parse_inner_packet(
                                           datagram.bytes.subspan(outer->size))
                                     : tl::unexpected(outer.error());
            if (!inner || entries_.empty())
            {
                ++counters_.malformed;
                continue;
            }
            if (caller_endpoints_.size() < max_caller_endpoints)
            {
                caller_endpoints_[inner->source.address] = datagram.source;
            }
            ++counters_.to_entries;
            forward(caller_socket_, entries_[random_.below(entries_.size())],
                    datagram.bytes);
        }
        if (datagrams.empty())
        {
            return;
        }
    }
}

void fabric::receive_from_entries()
{
    for (int batch = 0; batch < max_batches_per_iteration; ++batch)
    {
        const auto datagrams = return_socket_.receive();
        for (const auto& datagram : datagrams)
        {
            const auto outer = protocol::decode_geneve(datagram.bytes);
            const auto inner = outer ? protocol::parse_inner_packet(
                                           datagram.bytes.subspan(outer->size))
                                     : tl::unexpected(outer.error());
            if (!inner)
            {
                ++counters_.malformed;
                continue;
            }
            const auto caller =
                caller_endpoints_.find(inner->destination.address);
            if (caller == caller_endpoints_.end())
            {
                ++counters_.unknown_caller;
                continue;
            }
            ++counters_.to_callers;
            forward(return_socket_, caller->second, datagram.bytes);
        }
        if (datagrams.empty())
        {
            return;
        }
    }
}

void fabric::forward(transport::udp_socket& socket,
                     const transport::endpoint& destination,
                     std::span<const std::byte> bytes)
{
    if (random_.fraction() < settings_.loss)
    {
        ++counters_.lost;
        return;
    }
    const bool twice = random_.fraction() < settings_.duplication;
    counters_.duplicated += twice ? 1 : 0;
    for (int copy = 0; copy < (twice ? 2 : 1); ++copy)
    {
        if (settings_.delay + settings_.jitter == duration{0})
        {
            socket.send_to(destination, bytes);
            continue;
        }
        if (delayed_datagrams_.size() >= max_delayed_datagrams)
        {
            ++counters_.overflow;
            continue;
        }
        const auto jitter = duration(static_cast<duration::rep>(random_.below(
            static_cast<std::uint64_t>(settings_.jitter.count()) + 1)));
        delayed_datagrams_.emplace(
            host_.timers.now() + settings_.delay + jitter,
            delayed_datagram{destination, {bytes.begin(), bytes.end()}});
    }
}

void fabric::send_due_datagrams(time_point now)
{
    while (!delayed_datagrams_.empty() &&
           delayed_datagrams_.begin()->first <= now)
    {
        const delayed_datagram& next = delayed_datagrams_.begin()->second;
        return_socket_.send_to(next.destination, next.bytes);
        delayed_datagrams_.erase(delayed_datagrams_.begin());
    }
}

} // namespace boragestand::standins
