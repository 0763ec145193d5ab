#include "upstream.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace boragestand::standins
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(5);

// Entry instances must open no flow to an upstream later than this after it
// starts to drain, see section 1.3 of the design page.
constexpr duration late_flow_threshold = std::chrono::seconds(2);

constexpr std::uint32_t max_udp_body = 1000;
constexpr std::size_t max_udp_responses = 100000;
constexpr std::size_t max_request_line = 1024;

} // namespace

upstream::upstream(program& host, const upstream_settings& settings)
    : host_(host)
    , settings_(settings)
    , socket_(
          value_or_exit(transport::udp_socket::bind(settings.content.address)))
    , runner_(host, settings.runner, settings.content.name)
    , announcer_(host, settings.content, settings.entries)
{
    start_http_server();
    subscriptions_.push_back(
        host.loop.watch(socket_.fd(), transport::readiness::readable,
                        [this](transport::readiness) { receive(); }));
    subscriptions_.push_back(host.timers.every(
        tick_interval, [this](time_point now) { check_timeouts(now); }));
    subscriptions_.push_back(host.timers.every(
        std::max(settings.load_lag, duration(std::chrono::milliseconds(100))),
        [this](time_point)
        {
            reported_open_ = static_cast<std::uint32_t>(connections_.size());
            reported_running_ = static_cast<std::uint32_t>(runner_.running());
        }));
}

void upstream::start_http_server()
{
    http_ = value_or_exit(transport::http2_server::listen(
        host_.loop, {settings_.content.address.address, settings_.http_port},
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::http_exchange>& exchange)
        { exchange->respond(make_http_response(request.path)); }));
}

transport::http_response
upstream::make_http_response(const std::string& path) const
{
    const nlohmann::json body{
        {"healthy", !settings_.false_health},
        {"open", settings_.false_load.value_or(reported_open_)},
        {"running", settings_.false_load.value_or(reported_running_)}};
    if (path != "/health" && path != "/load")
    {
        return {404, {}, ""};
    }
    const bool unhealthy = path == "/health" && settings_.false_health;
    return {unhealthy ? 503 : 200,
            {{"content-type", "application/json"}},
            body.dump()};
}

void upstream::receive()
{
    for (const auto& datagram : socket_.receive())
    {
        const auto packet = decode_datagram(datagram.bytes);
        if (!packet)
        {
            continue;
        }
        if (packet->destination != settings_.service_address)
        {
            ++counters_.foreign_packets;
            continue;
        }
        std::visit([&](const auto& content) { handle(*packet, content); },
                   packet->content);
    }
}

void upstream::send(const transport::endpoint& caller,
                    std::variant<tcp_segment, udp_payload> content)
{
    socket_.send_to(settings_.returns,
                    encode_datagram({}, {settings_.service_address, caller,
                                         std::move(content)}));
}

void upstream::handle(const inner_packet& packet, const tcp_segment& segment)
{
    const auto found = connections_.find(packet.source);
    if (found == connections_.end())
    {
        const bool opens = segment.syn && !segment.ack && !segment.rst;
        opens ? accept_connection(packet, segment)
              : reset_unknown_flow(packet, segment);
        return;
    }
    found->second.stream.receive(segment, host_.timers.now());
    advance(packet.source);
}

void upstream::accept_connection(const inner_packet& packet,
                                 const tcp_segment& syn)
{
    if (connections_.size() >= settings_.content.connections)
    {
        ++counters_.dropped_syns;
        return;
    }
    const time_point now = host_.timers.now();
    ++counters_.flows;
    if (drain_start_ && now - *drain_start_ > late_flow_threshold)
    {
        ++counters_.late_flows;
    }
    const std::uint64_t number = next_number_++;
    const auto first_sequence =
        static_cast<std::uint32_t>(mix_hashes(number, syn.sequence));
    connections_.emplace(
        packet.source,
        connection{number,
                   tcp_stream::accept(syn, first_sequence, now, {}),
                   {},
                   {},
                   0,
                   0});
    advance(packet.source);
}

void upstream::reset_unknown_flow(const inner_packet& packet,
                                  const tcp_segment& segment)
{
    if (segment.rst)
    {
        return;
    }
    ++counters_.unknown_flow;
    tcp_segment reset;
    reset.rst = true;
    reset.sequence = segment.acknowledgement;
    send(packet.source, reset);
}

upstream::connection*
upstream::find_connection(const transport::endpoint& caller,
                          std::uint64_t number)
{
    const auto found = connections_.find(caller);
    const bool same =
        found != connections_.end() && found->second.number == number;
    return same ? &found->second : nullptr;
}

// Processes received bytes of a connection, sends pending segments and removes
// the connection once it has ended.
void upstream::advance(const transport::endpoint& caller)
{
    const auto found = connections_.find(caller);
    if (found == connections_.end())
    {
        return;
    }
    connection& flow = found->second;
    flow.input += flow.stream.take_received();
    if (flow.input.size() > max_request_line)
    {
        flow.stream.abort();
    }
    start_next_request(caller, flow);
    if (flow.stream.is_closed_by_peer() && !flow.current)
    {
        flow.stream.close(host_.timers.now());
    }
    for (tcp_segment& segment : flow.stream.take_output())
    {
        send(caller, std::move(segment));
    }
    if (flow.stream.is_alive() && !flow.stream.is_closed())
    {
        timers_.add(flow.stream.deadline(), caller);
        return;
    }
    if (flow.current)
    {
        runner_.cancel(flow.run_id);
    }
    connections_.erase(found);
}

void upstream::start_next_request(const transport::endpoint& caller,
                                  connection& flow)
{
    if (flow.current || !flow.stream.is_alive())
    {
        return;
    }
    const auto line = take_line(flow.input);
    if (!line)
    {
        return;
    }
    const auto requested = parse_request(*line);
    if (!requested)
    {
        flow.stream.abort();
        return;
    }
    count_if_foreign(*requested);
    flow.current = requested;
    flow.sent = 0;
    const std::uint64_t number = flow.number;
    flow.run_id = runner_.submit(
        *requested,
        [this, caller, number](double share)
        {
            send_body_until(caller, number, share);
            advance(caller);
        },
        [this, caller, number](outcome result)
        {
            // The end callback may run inside submit(), before run_id is
            // stored.
            host_.loop.post([this, caller, number, result]
                            { end_request(caller, number, result); });
        });
}

void upstream::count_if_foreign(const request& requested)
{
    counters_.foreign_requests +=
        requested.service == settings_.content.service ? 0 : 1;
}

response_head upstream::make_response_head(const request& requested,
                                           outcome result) const
{
    return {result, requested.id, settings_.content.service,
            settings_.content.name,
            result == outcome::ok ? requested.bytes : 0};
}

void upstream::send_body_until(const transport::endpoint& caller,
                               std::uint64_t number, double share)
{
    connection* flow = find_connection(caller, number);
    if (!flow || !flow->current)
    {
        return;
    }
    const time_point now = host_.timers.now();
    const request& requested = *flow->current;
    if (flow->sent == 0)
    {
        flow->stream.send(to_line(make_response_head(requested, outcome::ok)),
                          now);
    }
    const auto target = static_cast<std::uint32_t>(share * requested.bytes);
    if (target > flow->sent)
    {
        flow->stream.send(
            body_part(requested.id, flow->sent, target - flow->sent), now);
        flow->sent = target;
    }
}

void upstream::end_request(const transport::endpoint& caller,
                           std::uint64_t number, outcome result)
{
    connection* flow = find_connection(caller, number);
    if (!flow || !flow->current)
    {
        return;
    }
    if (result == outcome::ok)
    {
        send_body_until(caller, number, 1.0);
    }
    else
    {
        flow->stream.send(to_line(make_response_head(*flow->current, result)),
                          host_.timers.now());
    }
    flow->current.reset();
    advance(caller);
}

void upstream::handle(const inner_packet& packet, const udp_payload& payload)
{
    std::string text = payload.bytes;
    const auto line = take_line(text);
    const auto requested = line ? parse_request(*line) : std::nullopt;
    if (!requested || udp_responses_.size() >= max_udp_responses)
    {
        return;
    }
    const auto [cached, is_new] = udp_responses_.try_emplace(requested->id);
    if (!is_new)
    {
        // Answers a retransmitted request from the cache instead of running it
        // again.
        if (!cached->second.bytes.empty())
        {
            send(packet.source, udp_payload{cached->second.bytes});
        }
        return;
    }
    ++counters_.flows;
    count_if_foreign(*requested);
    cached->second.run_id = runner_.submit(
        *requested, [](double) {},
        [this, caller = packet.source, request = *requested](outcome result)
        {
            response_head head = make_response_head(request, result);
            head.bytes = std::min(head.bytes, max_udp_body);
            std::string& bytes = udp_responses_[request.id].bytes;
            bytes = to_line(head) + body_part(request.id, 0, head.bytes);
            send(caller, udp_payload{bytes});
        });
}

void upstream::check_timeouts(time_point now)
{
    while (const auto caller = timers_.take_due_key(now))
    {
        const auto found = connections_.find(*caller);
        if (found != connections_.end())
        {
            found->second.stream.check_timeout(now);
            advance(*caller);
        }
    }
}

void upstream::stop(std::function<void()> stopped)
{
    if (drain_start_)
    {
        return;
    }
    stopped_ = std::move(stopped);
    drain_start_ = host_.timers.now();
    announcer_.drain();
    drain_check_ =
        host_.timers.every(std::chrono::milliseconds(50), [this](time_point now)
                           { withdraw_if_drained(now); });
}

void upstream::withdraw_if_drained(time_point now)
{
    const duration since_drain_start = now - *drain_start_;
    const bool idle = connections_.empty() && runner_.running() == 0;
    if (since_drain_start < settings_.drain_minimum ||
        (!idle && since_drain_start < settings_.drain_limit))
    {
        return;
    }
    counters_.cut_flows = connections_.size();
    announcer_.withdraw(stopped_);
    drain_check_.cancel();
}

} // namespace boragestand::standins
