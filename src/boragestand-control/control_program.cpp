#include "control_program.hpp"

#include <random>

namespace boragestand::control
{

namespace
{

// Longest wait of a stop for the leadership transfer and pending responses.
// Both need a majority, which may be unavailable.
constexpr duration stop_limit = std::chrono::seconds(3);
constexpr duration stop_check_interval = std::chrono::milliseconds(20);
constexpr duration omitted_lines_interval = std::chrono::seconds(1);

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

replica_id new_identity(std::uint32_t instance)
{
    const auto disk = (random_seed() & 0xffffffffU) | 1U;
    return replica_id{(std::uint64_t{instance} << 32) | disk};
}

} // namespace

result<control_program::addresses>
control_program::parse_addresses(const settings::control_settings& settings)
{
    const auto own = transport::parse_endpoint(settings.http);
    const auto director = transport::parse_endpoint(settings.director.address);
    if (!own || !director)
    {
        return tl::unexpected(own ? director.error() : own.error());
    }
    addresses found{*own, *director, {}};
    for (const auto& member : settings.members)
    {
        const auto address = transport::parse_endpoint(member.http);
        if (!address)
        {
            return tl::unexpected(address.error());
        }
        found.founders.push_back({member.id, *address});
    }
    return found;
}

result<std::unique_ptr<control_program>> control_program::open(
    transport::main_loop& loop, transport::timer_service& timers,
    const settings::control_settings& settings, settings::event_log& log)
{
    const auto endpoints = parse_addresses(settings);
    if (!endpoints)
    {
        return tl::unexpected(endpoints.error());
    }
    auto disk = replica::replica_disk::open(settings.data_directory);
    if (!disk)
    {
        return tl::unexpected(disk.error());
    }
    const auto identified =
        (*disk)->is_empty()
            ? (*disk)->create(new_identity(settings.instance.id))
            : result<void>{};
    if (!identified)
    {
        return tl::unexpected(identified.error());
    }
    if (replica::instance_of((*disk)->self()) != settings.instance.id)
    {
        return failure(
            error_kind::invalid_settings,
            "data directory " + settings.data_directory +
                " belongs to instance " +
                std::to_string(replica::instance_of((*disk)->self())));
    }
    std::unique_ptr<control_program> program(new control_program(
        loop, timers, settings, *endpoints, std::move(*disk), log));
    return program->start(endpoints->own)
        .map([&] { return std::move(program); });
}

control_program::control_program(transport::main_loop& loop,
                                 transport::timer_service& timers,
                                 const settings::control_settings& settings,
                                 const addresses& endpoints,
                                 std::unique_ptr<replica::replica_disk> disk,
                                 settings::event_log& log)
    : loop_(loop)
    , timers_(timers)
    , log_(log)
    , peers_(loop, timers)
    , host_(std::move(disk), endpoints.own, random_seed(), timers, peers_, log_,
            {[this] { streams_.publish(host_.state()); },
             [this](const error& cause)
             {
                 fail(cause);
             }})
    , streams_(timers)
    , director_(endpoints.director, settings.director.path, timers, peers_,
                log_)
    , reports_(settings.entries)
    , commands_(host_, timers, log_)
    , members_(host_.runner(), peers_, log_)
    , founding_(settings.instance.id, endpoints.own,
                {.founders = endpoints.founders}, host_.runner(), timers,
                peers_, log_)
    , group_({host_.runner(), founding_, members_, timers, log_})
    , api_({host_, group_, commands_, streams_, reports_, director_, timers,
            log_})
    , omitted_lines_(timers.every(omitted_lines_interval, [&log](time_point now)
                                  { log.report_omitted(now); }))
{
}

result<void> control_program::start(const transport::endpoint& address)
{
    const auto started = host_.start();
    if (!started)
    {
        return started;
    }
    auto server = transport::http2_server::listen(
        loop_, address,
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::http_exchange>& exchange)
        { api_.handle(request, exchange); });
    if (!server)
    {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    founding_.start();
    return {};
}

void control_program::request_stop()
{
    if (stop_deadline_)
    {
        return;
    }
    log_.log_stop("signal");
    stop_deadline_ = timers_.now() + stop_limit;
    api_.stop_accepting();
    host_.transfer_leadership();
    stop_timer_ = timers_.every(stop_check_interval,
                                [this](time_point now) { continue_stop(now); });
}

void control_program::continue_stop(time_point now)
{
    const bool overdue = now >= *stop_deadline_;
    const bool is_only_voter = host_.node().group().voter_count() <= 1;
    const bool must_transfer = host_.is_leader() && !is_only_voter;
    if (!overdue && (must_transfer || host_.has_pending_requests()))
    {
        return;
    }
    if (!closing_)
    {
        closing_ = true;
        streams_.finish();
        server_->stop_accepting();
        return;
    }
    if (overdue || server_->open_exchanges() == 0)
    {
        log_.log_stop("done");
        loop_.quit();
    }
}

void control_program::fail(const error& cause)
{
    failure_ = cause;
    loop_.quit();
}

} // namespace boragestand::control
