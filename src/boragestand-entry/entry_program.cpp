#include "entry_program.hpp"

#include "entry_status.hpp"

namespace boragestand::entry
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(10);

} // namespace

result<std::unique_ptr<entry_program>>
entry_program::open(transport::main_loop& loop,
                    transport::timer_service& timers,
                    const entry_options& options, settings::event_log& log)
{
    auto packets = transport::udp_socket::bind(options.fabric);
    if (!packets)
    {
        return tl::unexpected(packets.error());
    }
    auto peers = transport::udp_socket::bind(options.peers);
    if (!peers)
    {
        return tl::unexpected(peers.error());
    }
    auto program = std::make_unique<entry_program>(
        loop, timers, options, log, std::move(*packets), std::move(*peers));
    return program->listen(options.http)
        .map([&] { return std::move(program); });
}

entry_program::entry_program(transport::main_loop& loop,
                             transport::timer_service& timers,
                             const entry_options& options,
                             settings::event_log& log,
                             transport::udp_socket packets,
                             transport::udp_socket peers)
    : loop_(loop)
    , timers_(timers)
    , options_(options)
    , event_log_(log)
    , log_(log, options.names)
    , router_(options.router)
    , packets_(options.router.self, loop, timers, std::move(packets),
               {options.callers_via, options.member_fabric}, router_, metrics_,
               log_)
    , peers_(loop, timers, std::move(peers), options.member_peers, metrics_,
             log_,
             [this](protocol::entry_envelope envelope, time_point)
             { step(coordination::peer_message{std::move(envelope)}); })
    , prober_(loop, timers,
              [this](const coordination::endpoint_report& report)
              { step(coordination::endpoint_answered{report}); })
    , publisher_(timers)
    , control_(options.router.self, options.router.incarnation, loop, timers,
               options.control,
               [this](service_id service, std::uint64_t episode) {
                   step(coordination::director_acknowledged{service, episode});
               })
    , follower_(loop, timers, options.control, options.member_http, log_,
                [this](const std::shared_ptr<const state::configuration>& next)
                { configuration_received(next); })
    , service_(options.data_centre, publisher_, hooks())
    , tick_timer_(timers.every(tick_interval,
                               [this](time_point now)
                               {
                                   step(coordination::tick{});
                                   event_log_.report_omitted(now);
                               }))
{
    log_.lifecycle("started", 0);
}

void entry_program::request_stop()
{
    if (stopping_)
    {
        return;
    }
    stopping_ = true;
    log_.lifecycle("stop_requested", router_.flow_count());
    step(coordination::stop_requested{});
}

result<void> entry_program::listen(const transport::endpoint& local)
{
    auto server = transport::http2_server::listen(
        loop_, local,
        [this](const transport::http_request& request,
               const http_service::exchange& answer)
        { service_.handle(request, answer); });
    if (!server)
    {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    return {};
}

http_service_hooks entry_program::hooks()
{
    return {
        .announced = [this](const auto& value) { upstream_announced(value); },
        .withdrawn = [this](service_id service, std::string_view name)
        { upstream_withdrawn(service, name); },
        .drain = [this] { request_stop(); },
        .set_log_level = [this](const std::string& name) -> result<void>
        {
            const auto level = settings::parse_log_level(name);
            if (!level)
            {
                return failure(error_kind::invalid_argument,
                               "no log level \"" + name + '"');
            }
            event_log_.set_level(*level);
            return {};
        },
        .metrics = [this]
        { return metrics_.text(router_, packets_.counters()); },
        .status =
            [this]
        {
            return status_json(router_, *follower_.current(), options_.names,
                               packets_.held_count(), stopping_, timers_.now());
        },
        .configuration = [this] { return follower_.current(); },
        .wall_now =
            [this]
        {
            return timers_.wall_now();
        }};
}

void entry_program::step(decltype(coordination::router_event::content) what)
{
    const auto effects =
        router_.step({timers_.now(), timers_.wall_now(), std::move(what)});
    for (const auto& effect : effects)
    {
        std::visit([this](const auto& chosen) { perform(chosen); }, effect);
    }
}

void entry_program::perform(const coordination::send_to_instance& effect)
{
    peers_.send(effect);
}

void entry_program::perform(const coordination::release_held& effect)
{
    packets_.release(effect);
}

void entry_program::perform(const coordination::request_director& effect)
{
    log_.director_requested(effect.request);
    const auto* service =
        follower_.current()->find_service(effect.request.service);
    control_.request_director(effect.request,
                              service == nullptr ? "" : service->name);
}

void entry_program::perform(const coordination::member_changed& effect)
{
    log_.member_changed(effect);
}

void entry_program::perform(const coordination::fetch_configuration& effect)
{
    follower_.fetch_from(effect.peer, effect.revision);
}

void entry_program::perform(const coordination::deliver_answer&)
{
    // Answers go from upstreams to callers directly on this platform.
}

void entry_program::perform(const coordination::discard_answer&)
{
    // Answers go from upstreams to callers directly on this platform.
}

void entry_program::perform(const coordination::stop_completed& effect)
{
    log_.lifecycle("stopped", effect.flows_transferred);
    loop_.quit();
}

void entry_program::perform(const coordination::log_decision& effect)
{
    log_.noted(effect);
}

void entry_program::upstream_announced(
    const upstream_announcement& announcement)
{
    prober_.announce(announcement);
    log_.announced(announcement.record);
    step(coordination::upstream_announced{announcement.record});
}

void entry_program::upstream_withdrawn(service_id service,
                                       std::string_view name)
{
    const auto upstream = protocol::upstream_id_of(name);
    prober_.withdraw(service, upstream);
    for (auto& record : router_.traffic().records(timers_.now()))
    {
        if (record.service != service || record.upstream != upstream)
        {
            continue;
        }
        record.state = protocol::upstream_state::withdrawn;
        ++record.sequence;
        log_.announced(record);
        step(coordination::upstream_announced{record});
        return;
    }
}

void entry_program::configuration_received(
    const std::shared_ptr<const state::configuration>& configuration)
{
    log_.use(configuration);
    publisher_.publish(configuration);
    step(coordination::configuration_received{configuration});
    control_.report_revision(configuration->revision);
    log_.configured(*configuration);
}

} // namespace boragestand::entry
