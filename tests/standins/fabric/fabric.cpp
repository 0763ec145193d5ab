#include "fabric.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

namespace boragestand::standins
{

namespace
{

constexpr std::size_t max_waiting = 200000;
constexpr std::size_t max_known_callers = 1000000;

// Batches read in one turn of the loop, so that one direction cannot starve
// the other.
constexpr int max_batches = 8;

} // namespace

fabric::fabric(program& host, const fabric_settings& settings)
    : host_(host)
    , settings_(settings)
    , random_(settings.seed)
    , callers_(value_or_exit(transport::udp_socket::bind(settings.callers)))
    , returns_(value_or_exit(transport::udp_socket::bind(settings.returns)))
{
    reload_entries();
    subscriptions_.push_back(host.loop.watch(
        callers_.fd(), transport::readiness::readable,
        [this](transport::readiness) { receive_from_callers(); }));
    subscriptions_.push_back(
        host.loop.watch(returns_.fd(), transport::readiness::readable,
                        [this](transport::readiness) { receive_returns(); }));
    subscriptions_.push_back(
        host.loop.on_signal(SIGHUP, [this] { reload_entries(); }));
    if (settings.delay + settings.jitter > duration{0})
    {
        subscriptions_.push_back(host.timers.every(std::chrono::milliseconds(1),
                                                   [this](time_point now)
                                                   { send_due(now); }));
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
    for (int batch = 0; batch < max_batches; ++batch)
    {
        const auto datagrams = callers_.receive();
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
            if (known_callers_.size() < max_known_callers)
            {
                known_callers_[inner->source.address] = datagram.source;
            }
            ++counters_.to_entries;
            pass_on(callers_, entries_[random_.below(entries_.size())],
                    datagram.bytes);
        }
        if (datagrams.empty())
        {
            return;
        }
    }
}

void fabric::receive_returns()
{
    for (int batch = 0; batch < max_batches; ++batch)
    {
        const auto datagrams = returns_.receive();
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
            const auto caller = known_callers_.find(inner->destination.address);
            if (caller == known_callers_.end())
            {
                ++counters_.unknown_caller;
                continue;
            }
            ++counters_.to_callers;
            pass_on(returns_, caller->second, datagram.bytes);
        }
        if (datagrams.empty())
        {
            return;
        }
    }
}

void fabric::pass_on(transport::udp_socket& socket,
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
        if (waiting_.size() >= max_waiting)
        {
            ++counters_.overflow;
            continue;
        }
        const auto jitter = duration(static_cast<duration::rep>(random_.below(
            static_cast<std::uint64_t>(settings_.jitter.count()) + 1)));
        waiting_.emplace(host_.timers.now() + settings_.delay + jitter,
                         delayed{destination, {bytes.begin(), bytes.end()}});
    }
}

void fabric::send_due(time_point now)
{
    while (!waiting_.empty() && waiting_.begin()->first <= now)
    {
        const delayed& next = waiting_.begin()->second;
        returns_.send_to(next.destination, next.bytes);
        waiting_.erase(waiting_.begin());
    }
}

} // namespace boragestand::standins
