#include "caller.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace boragestand::standins
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(2);

// A closed flow still answers a repeated FIN for this long.
constexpr duration linger_time = std::chrono::milliseconds(1000);

constexpr duration max_retry_delay = std::chrono::seconds(2);

constexpr std::uint64_t first_port = 10000;
constexpr std::uint64_t ports_per_address = 50000;

} // namespace

caller::caller(program& host, const caller_settings& settings,
               std::function<void()> finished)
    : host_(host)
    , settings_(settings)
    , finished_(std::move(finished))
    , random_(settings.seed)
    , socket_(value_or_exit(transport::udp_socket::bind(settings.local)))
    , started_(host.timers.now())
    ,
    // The address makes request ids unique among caller processes.
    next_request_(std::uint64_t{settings.inner_address} << 32 | 1)
{
    subscriptions_.push_back(
        host.loop.watch(socket_.fd(), transport::readiness::readable,
                        [this](transport::readiness) { receive(); }));
    subscriptions_.push_back(host.timers.every(
        tick_interval,
        [this](time_point now)
        {
            open_due_flows(now);
            process_due_flows(now);
            if (counters_.flows == settings_.flows && flows_.empty())
            {
                finished_();
            }
        }));
}

void caller::open_due_flows(time_point now)
{
    const double seconds =
        std::chrono::duration<double>(now - started_).count();
    const auto due = std::min(
        settings_.flows, static_cast<std::uint64_t>(seconds * settings_.rate));
    while (counters_.flows < due)
    {
        open_flow(now);
    }
}

void caller::open_flow(time_point now)
{
    const std::uint64_t number = counters_.flows++;
    flow added;
    added.source = {
        settings_.inner_address +
            static_cast<std::uint32_t>(number / ports_per_address),
        static_cast<std::uint16_t>(first_port + number % ports_per_address)};
    added.is_long = random_.fraction() < settings_.long_share;
    added.work = added.is_long ? settings_.long_work : settings_.short_work;
    added.opened = now;
    if (settings_.protocol == protocol::ip_protocol::tcp)
    {
        added.stream = tcp_stream::connect(
            static_cast<std::uint32_t>(random_.next()), now, {});
    }
    ++open_flows_;
    const auto source = added.source;
    flow& current = flows_.emplace(source, std::move(added)).first->second;
    start_request(current, now);
    advance(current, now);
    timers_.add(now + settings_.flow_limit, source);
    if (settings_.give_up > duration{0})
    {
        timers_.add(now + settings_.give_up, source);
    }
}

void caller::start_request(flow& current, time_point now)
{
    request requested;
    requested.id = next_request_++;
    requested.service = settings_.service;
    requested.work_ms = current.work.work_ms;
    requested.bytes = current.work.bytes;
    requested.is_long = current.is_long;
    requested.deadline_ms = settings_.deadline_ms;
    ++current.requests_sent;
    current.check.emplace(requested);
    if (current.stream)
    {
        current.stream->send(to_line(requested), now);
        return;
    }
    current.next_action = now;
}

void caller::send(const flow& current,
                  std::variant<tcp_segment, udp_payload> content)
{
    protocol::geneve_header header;
    if (settings_.mark_class)
    {
        header.work = current.is_long ? protocol::request_class::long_work
                                      : protocol::request_class::short_work;
    }
    if (settings_.deadline_ms > 0)
    {
        header.deadline_ms = settings_.deadline_ms;
    }
    socket_.send_to(
        settings_.fabric,
        encode_datagram(header, {current.source, settings_.service_address,
                                 std::move(content)}));
}

void caller::receive()
{
    const time_point now = host_.timers.now();
    for (const auto& datagram : socket_.receive())
    {
        const auto packet = decode_datagram(datagram.bytes);
        const auto found =
            packet ? flows_.find(packet->destination) : flows_.end();
        if (found == flows_.end() ||
            packet->source != settings_.service_address)
        {
            continue;
        }
        flow& current = found->second;
        if (const auto* segment = std::get_if<tcp_segment>(&packet->content))
        {
            if (current.stream)
            {
                current.stream->receive(*segment, now);
                handle_response_bytes(current, current.stream->take_received(),
                                      now);
            }
        }
        else if (!current.stream)
        {
            handle_response_bytes(
                current, std::get<udp_payload>(packet->content).bytes, now);
        }
        advance(current, now);
    }
}

void caller::handle_response_bytes(flow& current, std::string_view bytes,
                                   time_point now)
{
    using status = response_check::status;
    if (bytes.empty() || current.has_result)
    {
        return;
    }
    if (!current.check)
    {
        // Response bytes without an outstanding request.
        end_flow(current, flow_result::broken, now);
        return;
    }
    switch (current.check->add(bytes))
    {
    case status::incomplete:
        return;
    case status::shed:
        end_flow(current, flow_result::shed, now);
        return;
    case status::wrong_service:
        end_flow(current, flow_result::wrong_service, now);
        return;
    case status::wrong_response:
        end_flow(current, flow_result::broken, now);
        return;
    case status::complete:
        break;
    }
    current.check.reset();
    if (current.requests_sent == current.work.requests)
    {
        end_flow(current, flow_result::completed, now);
        return;
    }
    current.next_action = now + current.work.think_time;
    timers_.add(current.next_action, current.source);
}

void caller::end_flow(flow& current, flow_result result, time_point now)
{
    current.has_result = true;
    --open_flows_;
    ++counters_.results[static_cast<std::size_t>(result)];
    current.next_action = now + linger_time;
    timers_.add(current.next_action, current.source);
    if (result == flow_result::completed)
    {
        auto& latencies = current.is_long ? counters_.long_latencies
                                          : counters_.short_latencies;
        latencies.push_back(now - current.opened);
    }
    else
    {
        log_flow_end(current, result, now);
    }
    if (!current.stream)
    {
        return;
    }
    if (result == flow_result::completed || result == flow_result::shed)
    {
        current.stream->close(now);
        return;
    }
    current.stream->abort();
}

void caller::log_flow_end(const flow& current, flow_result result,
                          time_point now) const
{
    constexpr std::array<std::string_view, 6> names{
        "completed", "broken", "wrong_service", "refused", "shed", "cancelled"};
    const auto since_start =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - started_);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - current.opened);
    log_line line("flow_ended");
    line.with("result", names[static_cast<std::size_t>(result)])
        .with("source", transport::to_string(current.source))
        .with("at_ms", since_start.count())
        .with("age_ms", age.count())
        .with("long", current.is_long);
    if (current.stream)
    {
        line.with("tcp_state",
                  static_cast<int>(current.stream->current_state()));
    }
    std::cerr << line.text() << std::endl;
}

// Sends the pending segments of a flow and schedules its next timeout.
void caller::advance(flow& current, time_point now)
{
    if (!current.stream)
    {
        send_or_retry_request(current, now);
        return;
    }
    check_stream(current, now);
    for (tcp_segment& segment : current.stream->take_output())
    {
        send(current, std::move(segment));
    }
    timers_.add(current.stream->deadline(), current.source);
}

void caller::check_stream(flow& current, time_point now)
{
    if (current.has_result)
    {
        return;
    }
    const auto state = current.stream->current_state();
    if (state == tcp_stream::state::refused)
    {
        end_flow(current, flow_result::refused, now);
        return;
    }
    if (!current.stream->is_alive() || current.stream->is_closed_by_peer())
    {
        end_flow(current, flow_result::broken, now);
    }
}

// Starts the next request of a flow, or retransmits the datagram of a UDP flow.
void caller::send_or_retry_request(flow& current, time_point now)
{
    if (current.has_result || now < current.next_action)
    {
        return;
    }
    if (!current.check)
    {
        start_request(current, now);
    }
    if (current.stream || !current.check)
    {
        return;
    }
    send(current, udp_payload{to_line(current.check->requested())});
    current.next_action = now + current.retry_delay;
    current.retry_delay = std::min(2 * current.retry_delay, max_retry_delay);
    timers_.add(current.next_action, current.source);
}

void caller::process_due_flows(time_point now)
{
    while (const auto source = timers_.take_due_key(now))
    {
        const auto found = flows_.find(*source);
        if (found == flows_.end())
        {
            continue;
        }
        flow& current = found->second;
        if (current.stream)
        {
            current.stream->check_timeout(now);
        }
        const duration age = now - current.opened;
        if (!current.has_result && age >= settings_.flow_limit)
        {
            end_flow(current, flow_result::broken, now);
        }
        else if (!current.has_result && settings_.give_up > duration{0} &&
                 age >= settings_.give_up)
        {
            end_flow(current, flow_result::cancelled, now);
        }
        send_or_retry_request(current, now);
        advance(current, now);
        const bool quiet = !current.stream || !current.stream->deadline();
        if (current.has_result && quiet && now >= current.next_action)
        {
            flows_.erase(found);
        }
    }
}

} // namespace boragestand::standins
