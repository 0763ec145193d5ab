#include "fleet/control_node.hpp"

#include "fleet/fleet_times.hpp"
#include "state/command_http.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace boragestand::fleet
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);

std::uint64_t random_number()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device() | 1U;
}

replica_id new_identity(std::uint32_t address)
{
    return replica_id{(std::uint64_t{address} << 32) |
                      (random_number() & 0xffffffffU)};
}

std::vector<replica::group_founding::founder>
founders_of(const std::vector<transport::endpoint>& seeds)
{
    std::vector<replica::group_founding::founder> founders;
    for (const auto& seed : seeds)
    {
        founders.push_back({seed.address, seed});
    }
    return founders;
}

agreement::agreement_settings
replication_settings(const control_node_settings& settings)
{
    auto replication = settings.replication;
    replication.snapshot_interval_bytes = settings.limits.snapshot_interval;
    return replication;
}

} // namespace

result<std::unique_ptr<control_node>>
control_node::open(transport::main_loop& loop, transport::timer_service& timers,
                   const control_node_settings& settings, fleet_log& log,
                   std::function<void(std::optional<error>)> stop)
{
    auto disk = replica::replica_disk::open(
        settings.data_directory + "/replica", settings.limits.segment_size);
    if (!disk)
    {
        return tl::unexpected(disk.error());
    }
    if ((*disk)->is_empty())
    {
        const auto created =
            (*disk)->create(new_identity(settings.address.address));
        if (!created)
        {
            return tl::unexpected(created.error());
        }
    }
    auto files = state::file_disk::open(settings.data_directory + "/registry");
    if (!files)
    {
        return tl::unexpected(files.error());
    }
    std::unique_ptr<control_node> node(
        new control_node(loop, timers, settings, log, std::move(stop),
                         std::move(*disk), std::move(*files)));
    return node->start().map([&] { return std::move(node); });
}

control_node::control_node(transport::main_loop& loop,
                           transport::timer_service& timers,
                           const control_node_settings& settings,
                           fleet_log& log,
                           std::function<void(std::optional<error>)> stop,
                           std::unique_ptr<replica::replica_disk> disk,
                           std::unique_ptr<state::file_disk> files)
    : loop_(loop)
    , timers_(timers)
    , settings_(settings)
    , log_(log)
    , stop_(std::move(stop))
    , peers_(loop, timers)
    , machine_(log,
               [this]
               {
                   record_ended_evacuations();
                   directory_.publish();
               })
    , runner_(std::make_unique<replica::replica_runner>(
          std::move(disk), settings.address, random_number(),
          replica::replica_runner::parts{timers, peers_, machine_, log},
          replication_settings(settings),
          [this](const error& cause) { stop_(cause); },
          replica::storage_reserve{settings.limits.reserve}))
    , members_(*runner_, peers_, log)
    , founding_(settings.address.address, settings.address,
                {.founders = founders_of(settings.seeds),
                 .may_found = settings.may_found,
                 .joins_automatically = true,
                 .retired =
                     [this]
                 {
                     discard_identity();
                 }},
                *runner_, timers, peers_, log)
    , group_({*runner_, founding_, members_, timers, log})
    , registry_(settings.registry)
    , store_(std::move(files))
    , directory_(registry_, timers, random_number(),
                 [this] { return make_directory_view(); })
    , leaves_(timers, log,
              [this](std::uint64_t cursor)
              { return is_acknowledged_by_majority(cursor); })
    , granter_(settings.warmup, timers.now())
    , started_(timers.now())
{
    directory_.on_acknowledged([this] { leaves_.answer_acknowledged(); });
    directory_.on_bad_load(
        [this](const error& cause, const transport::endpoint& sender)
        { log_.bad_input("load", cause, sender, timers_.now()); });
    directory_.on_grants(
        [this](const transport::endpoint& entry)
        {
            return granter_.grants_for(entry, directory_.recent_entries(),
                                       timers_.now());
        });
}

result<void> control_node::start()
{
    const auto started = runner_->start();
    if (!started)
    {
        return started;
    }
    auto server = transport::http2_server::listen(
        loop_, settings_.listen,
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::http_exchange>& exchange)
        { handle(request, exchange); });
    if (!server)
    {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    load_directory();
    founding_.start();
    update_member_clients();
    ticks_ =
        timers_.every(tick_interval, [this](time_point now) { tick(now); });
    return {};
}

void control_node::handle(const transport::http_request& request,
                          const directory_server::exchange& answer)
{
    if (group_.handle(request, answer))
    {
        return;
    }
    const auto handled = directory_.handle(request, answer);
    if (!handled)
    {
        log_.bad_input("directory", handled.error(), answer->peer(),
                       timers_.now());
        answer->respond(state::to_http(handled.error()));
    }
}

void control_node::tick(time_point now)
{
    update_member_clients();
    expire_upstreams(now);
    directory_.load().expire(now);
    remove_silent_member(now);
    save_directory(now);
    const bool current = is_current();
    if (current != was_current_)
    {
        was_current_ = current;
        log_.contact_changed("group", settings_.address, current,
                             current ? "majority" : "no majority");
        directory_.publish();
    }
}

std::vector<transport::endpoint> control_node::member_addresses() const
{
    std::vector<transport::endpoint> addresses;
    for (const auto& member : runner_->node().group().members)
    {
        addresses.push_back(member.address);
    }
    return addresses;
}

void control_node::update_member_clients()
{
    auto wanted = member_addresses();
    if (wanted.empty())
    {
        wanted = settings_.seeds;
    }
    std::erase_if(member_clients_,
                  [&wanted](const auto& each)
                  {
                      return std::find(wanted.begin(), wanted.end(),
                                       each.first) == wanted.end();
                  });
    for (const auto& member : wanted)
    {
        if (member != settings_.address && !member_clients_.contains(member))
        {
            add_member_client(member);
        }
    }
}

void control_node::add_member_client(const transport::endpoint& member)
{
    auto client = std::make_unique<directory_client>(
        loop_, timers_, member,
        directory_client::hooks{[this, member]
                                {
                                    coordination::directory_request request;
                                    request.from_replica = true;
                                    request.sender = settings_.address;
                                    request.load = directory_.load().make_sum(
                                        member, timers_.now());
                                    return request;
                                },
                                [this](const directory_update& update)
                                { apply_reply(update.reply); },
                                [](const error&)
                                {
                                    return true;
                                }});
    auto& added = member_clients_[member];
    added = std::move(client);
    added->start();
}

void control_node::apply_reply(const coordination::directory_reply& reply)
{
    const auto now = timers_.now();
    bool changed = false;
    for (const auto& record : reply.upstreams)
    {
        if (registry_.apply(record, now, claim_of(record)) ==
            coordination::update_outcome::changed)
        {
            changed = true;
            log_.upstream_changed(record, "replica");
        }
    }
    for (const auto& refresh : reply.refreshes)
    {
        changed = registry_.apply(refresh, now) ==
                      coordination::update_outcome::changed ||
                  changed;
    }
    if (changed)
    {
        directory_.publish_soon();
    }
}

// Upstreams announce themselves before the first plan names their services.
coordination::address_claim
control_node::claim_of(const coordination::registered_upstream& record) const
{
    const auto plan = newest_plan();
    const bool named = std::any_of(plan->services.begin(), plan->services.end(),
                                   [&record](const auto& each)
                                   { return each.name == record.service; });
    return named || plan->version == 0
               ? coordination::address_claim::may_replace
               : coordination::address_claim::free_only;
}

// Upstreams send heartbeats and the group stores the plan, so losing this file
// only delays recovery.
void control_node::load_directory()
{
    auto saved = store_.load();
    if (!saved)
    {
        log_.request_failed("directory file", saved.error());
        return;
    }
    for (const auto& record : saved->upstreams)
    {
        registry_.apply(record, timers_.now());
        log_.upstream_changed(record, "disk");
    }
    if (saved->plan)
    {
        log_.plan_loaded(saved->plan->version, saved->plan->routes.size());
        saved_plan_ =
            std::make_shared<state::routing_plan>(std::move(*saved->plan));
    }
    saved_evacuations_ = std::move(saved->evacuations);
    saves_.start_from({registry_.cursor(), registry_.leave_cursor(),
                       saved_plan_ ? saved_plan_->version : 0,
                       coordination::newest_index(saved_evacuations_)});
}

void control_node::save_directory(time_point now)
{
    const auto plan = newest_plan();
    auto notices = evacuations();
    const directory_position position{registry_.cursor(),
                                      registry_.leave_cursor(), plan->version,
                                      coordination::newest_index(notices)};
    if (!saves_.is_due(position, now))
    {
        return;
    }
    const auto saved =
        store_.save({registry_.changes_since(0, now), *plan, notices});
    saves_.record(position, saved.has_value(), timers_.now() - now, now);
    if (!saved)
    {
        log_.request_failed("directory file", saved.error());
        return;
    }
    saved_plan_ = plan;
    saved_evacuations_ = std::move(notices);
}

// Before the group has a leader, the saved plan may be newer than the plan
// known to be committed.
std::shared_ptr<const state::routing_plan> control_node::newest_plan() const
{
    const auto& current = machine_.current();
    if (saved_plan_ && saved_plan_->version > current->plan.version)
    {
        return saved_plan_;
    }
    return {current, &current->plan};
}

// Without contact to a majority, missing heartbeats may be due to a failure of
// this instance's own network.
void control_node::expire_upstreams(time_point now)
{
    const bool lease_elapsed = now - started_ >= settings_.registry.lease;
    if (!lease_elapsed || !is_current())
    {
        return;
    }
    const auto lost = registry_.expire(now);
    for (const auto id : lost)
    {
        log_.upstream_changed(*registry_.find(id), "lease");
    }
    if (!lost.empty())
    {
        directory_.publish_soon();
    }
}

bool control_node::is_current() const
{
    const auto now = timers_.now();
    const auto& node = runner_->node();
    if (!node.is_in_contact(now) || !node.is_caught_up(now))
    {
        return false;
    }
    std::size_t reached = 1;
    for (const auto& [address, client] : member_clients_)
    {
        const auto contact = client->last_contact();
        reached += contact && now - *contact <= contact_limit ? 1 : 0;
    }
    return reached > node.group().members.size() / 2;
}

bool control_node::is_acknowledged_by_majority(std::uint64_t cursor) const
{
    const auto members = member_addresses();
    std::size_t known = 0;
    for (const auto& member : members)
    {
        const bool knows = member == settings_.address ||
                           directory_.acknowledged(member) >= cursor;
        known += knows ? 1 : 0;
    }
    return known > members.size() / 2 || members.empty();
}

directory_server::view control_node::make_directory_view() const
{
    return {is_current(), newest_plan(), member_addresses(), evacuations()};
}

void control_node::handle_heartbeat(
    const coordination::registered_upstream& record, done_callback callback)
{
    const auto checked = coordination::check_upstream(record);
    if (!checked)
    {
        callback(checked);
        return;
    }
    const auto now = timers_.now();
    const auto outcome = registry_.apply(record, now, claim_of(record));
    if (outcome != coordination::update_outcome::stale)
    {
        registry_.record_direct_heartbeat(record.id, now);
        granter_.observe(record, warmup_rate(record.service), now);
    }
    if (outcome == coordination::update_outcome::changed)
    {
        log_.upstream_changed(record, "upstream");
        directory_.publish_soon();
    }
    if (record.condition == coordination::upstream_condition::ready)
    {
        callback({});
        return;
    }
    confirm_leave(record.id, record.sequence, std::move(callback));
}

std::uint32_t control_node::warmup_rate(const std::string& service) const
{
    const auto plan = newest_plan();
    const auto found = std::find_if(
        plan->services.begin(), plan->services.end(),
        [&service](const auto& each) { return each.name == service; });
    return found == plan->services.end() ? 0
                                         : found->warmup_requests_per_1000_s;
}

void control_node::handle_leave(std::uint64_t upstream,
                                std::optional<std::uint64_t> incarnation,
                                done_callback callback)
{
    const auto outcome =
        registry_.mark_gone(upstream, incarnation, timers_.now());
    if (outcome == coordination::update_outcome::changed)
    {
        log_.upstream_changed(*registry_.find(upstream), "upstream");
        directory_.publish_soon();
    }
    confirm_leave(upstream, 0, std::move(callback));
}

void control_node::confirm_leave(std::uint64_t upstream, std::uint64_t sequence,
                                 done_callback callback)
{
    leaves_.add(upstream, sequence, registry_.last_change(upstream),
                std::move(callback));
}

result<prepared_plan> prepare_plan(const state::submitted_plan& plan)
{
    const auto checked = state::check_plan(plan.plan);
    if (!checked)
    {
        return tl::unexpected(checked.error());
    }
    auto command = state::encode_plan(plan);
    // What is committed must decode everywhere: a compressed plan is smaller
    // than the limit of its content.
    if (!state::decode_submitted_plan(command))
    {
        return failure(error_kind::resource_exhausted,
                       "the plan is larger than a control instance reads");
    }
    return prepared_plan{plan.plan.version, std::move(command)};
}

void control_node::submit(const state::submitted_plan& plan,
                          done_callback callback)
{
    auto prepared = prepare_plan(plan);
    if (!prepared)
    {
        callback(tl::unexpected(prepared.error()));
        return;
    }
    submit(std::move(*prepared), std::move(callback));
}

void control_node::submit(prepared_plan plan, done_callback callback)
{
    if (!runner_->is_leader())
    {
        callback(failure(error_kind::not_leader, "another instance leads"));
        return;
    }
    // The highest version is in force already, so this one changes nothing.
    if (plan.version <= machine_.current()->plan.version)
    {
        callback({});
        return;
    }
    runner_->submit(
        std::move(plan.command),
        [this, callback = std::move(callback),
         started = timers_.now()](const result<std::uint64_t>& index)
        {
            submissions_.add(timers_.now() - started);
            runner_->defer([callback, index]
                           { callback(index.map([](auto) {})); });
        });
}

void control_node::read(plan_callback callback)
{
    if (!runner_->is_leader())
    {
        callback(failure(error_kind::not_leader, "another instance leads"));
        return;
    }
    runner_->read(
        [this,
         callback = std::move(callback)](const result<std::uint64_t>& index)
        {
            if (!index)
            {
                callback(tl::unexpected(index.error()));
                return;
            }
            if (machine_.current()->plan.version == 0)
            {
                callback(failure(error_kind::not_found, "no plan yet"));
                return;
            }
            callback(machine_.current());
        });
}

std::optional<transport::endpoint> control_node::other_leader() const
{
    const auto leader = runner_->leader_address();
    return runner_->is_leader() || leader == settings_.address ? std::nullopt
                                                               : leader;
}

void control_node::set_seeds(std::vector<transport::endpoint> seeds)
{
    founding_.set_founders(founders_of(seeds));
    settings_.seeds = std::move(seeds);
}

} // namespace boragestand::fleet
