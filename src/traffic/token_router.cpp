#include "traffic/token_router.hpp"

#include <algorithm>

namespace boragestand::traffic
{

namespace
{

// A packet whose sequence number is further from the SYN belongs to another
// flow; flows of callers carry far less than 16 MiB.
constexpr std::uint32_t max_flow_bytes = 16 * 1024 * 1024;

// An instance that was behind with its packets does not judge upstreams by SYNs
// sent within this time: the pause before a caller repeats one.
constexpr duration backlog_memory = std::chrono::milliseconds(200);

std::uint32_t to_percent(double share)
{
    constexpr double percent = 100.0;
    return static_cast<std::uint32_t>(percent * share);
}

std::uint64_t to_integer(const transport::endpoint& value)
{
    return std::uint64_t{value.address} << 16 | value.port;
}

} // namespace

std::string_view to_text(forward_reason reason)
{
    switch (reason)
    {
    case forward_reason::placed:
        return "placed";
    case forward_reason::placed_anew:
        return "placed_anew";
    case forward_reason::by_flow:
        return "by_flow";
    case forward_reason::by_token:
        break;
    }
    return "by_token";
}

std::string_view to_text(reset_reason reason)
{
    return reason == reset_reason::no_route ? "no_route" : "evacuated";
}

std::string_view to_text(token_drop_reason reason)
{
    switch (reason)
    {
    case token_drop_reason::malformed_flags:
        return "malformed_flags";
    case token_drop_reason::unknown_token:
        return "unknown_token";
    case token_drop_reason::no_token:
        return "no_token";
    case token_drop_reason::no_upstream:
        return "no_upstream";
    case token_drop_reason::no_plan:
        break;
    }
    return "no_plan";
}

std::size_t
token_router::flow_hash::operator()(const token_flow& flow) const noexcept
{
    return mix_hashes(to_integer(flow.caller), to_integer(flow.destination));
}

token_router::token_router(const token_router_settings& settings)
    : settings_(settings), pool_(settings, tracker_)
{
}

bool token_router::apply(const state::routing_plan& plan)
{
    if (plan.version <= plan_version_)
    {
        return false;
    }
    plan_version_ = plan.version;
    pool_.apply(plan.services);
    routes_.clear();
    for (const auto& route : plan.routes)
    {
        set_route(std::make_shared<const state::service_route>(route));
    }
    return true;
}

bool token_router::apply(const coordination::plan_update& update)
{
    if (update.version <= plan_version_)
    {
        return false;
    }
    plan_version_ = update.version;
    if (update.settings)
    {
        pool_.apply(update.settings->services);
    }
    for (const auto& address : update.removed)
    {
        routes_.erase(address);
    }
    for (const auto& route : update.routes)
    {
        set_route(route);
    }
    return true;
}

void token_router::set_route(std::shared_ptr<const state::service_route> route)
{
    auto& target = routes_[route->address];
    target.total_weight = 0;
    for (const auto& each : route->services)
    {
        target.total_weight += each.weight;
    }
    target.route = std::move(route);
}

const state::service_route*
token_router::find_route(const transport::endpoint& destination) const
{
    const auto found = routes_.find(destination);
    return found == routes_.end() ? nullptr : found->second.route.get();
}

token_decision token_router::drop(token_drop_reason reason)
{
    ++counters_.drops[static_cast<std::size_t>(reason)];
    return drop_packet{reason};
}

token_decision token_router::decide(const token_packet& packet, time_point now)
{
    if (!packet.syn)
    {
        return continue_flow(packet, now);
    }
    if (packet.ack || packet.fin || packet.rst)
    {
        return drop(token_drop_reason::malformed_flags);
    }
    return open_flow(packet, now);
}

// A record whose upstream was removed or has restarted is useless and removed,
// too.
token_router::flow_record* token_router::find_flow(const token_flow& flow,
                                                   time_point now)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
    {
        return nullptr;
    }
    const auto* const upstream = pool_.find(found->second.upstream);
    if (upstream != nullptr && upstream->token == found->second.token)
    {
        return &found->second;
    }
    end_request(found->second, now);
    flows_.erase(found);
    return nullptr;
}

void token_router::assign(flow_record& record,
                          const upstream_pool::member& upstream)
{
    record.upstream = upstream.record.id;
    record.token = upstream.token;
}

// Callers use their ports again, and the SYN of the next flow may have passed
// another instance. A late answer to a repeated SYN can also give the caller
// the token of another upstream, so a token alone does not end a record.
bool token_router::belongs_to(const token_packet& packet,
                              const flow_record& record) const
{
    if (packet.token == 0 || packet.token == record.token)
    {
        return true;
    }
    const auto* const named = pool_.find_by_token(packet.token);
    if (named == nullptr)
    {
        return true;
    }
    // Unsigned subtraction, since sequence numbers wrap around.
    if (packet.sequence - record.sequence > max_flow_bytes)
    {
        return false;
    }
    const auto& tried = record.tried_upstreams;
    return record.phase == flow_phase::opening ||
           std::find(tried.begin(), tried.end(), named->record.id) !=
               tried.end();
}

token_decision token_router::open_flow(const token_packet& packet,
                                       time_point now)
{
    auto* record = find_flow(packet.flow, now);
    if (record == nullptr || record->sequence != packet.sequence)
    {
        if (record != nullptr)
        {
            end_request(*record, now);
            stop_counting(*record);
            flows_.erase(packet.flow);
        }
        flow_record added;
        added.sequence = packet.sequence;
        return place_flow(packet, added, forward_reason::placed, now);
    }
    record->last_packet = now;
    if (record->phase != flow_phase::opening)
    {
        // A delayed duplicate of a SYN that was answered.
        const auto* upstream = pool_.find(record->upstream);
        return forward_packet{record->upstream, upstream->record.address,
                              upstream->token, forward_reason::by_flow};
    }
    abandon_attempt(*record, now);
    return place_flow(packet, *record, forward_reason::placed_anew, now);
}

void token_router::abandon_attempt(flow_record& record, time_point now)
{
    if (auto* upstream = pool_.find(record.upstream))
    {
        ++counters_.unanswered;
        pool_.record_unanswered_syn(*upstream, record.last_syn, now);
        // While this instance is behind, answers may wait to be read.
        if (settings_.joins_load && now - last_backlog_ >= backlog_memory)
        {
            tracker_.add_unanswered(record.token);
        }
    }
    stop_counting(record);
    record.tried_upstreams.push_back(record.upstream);
}

const std::string& token_router::select_service(const route_target& target,
                                                std::uint64_t hash) const
{
    auto rest = hash % std::max<std::uint64_t>(target.total_weight, 1);
    for (const auto& each : target.route->services)
    {
        if (rest < each.weight)
        {
            return each.service;
        }
        rest -= each.weight;
    }
    return target.route->services.back().service;
}

token_decision token_router::place_flow(const token_packet& packet,
                                        flow_record& record,
                                        forward_reason reason, time_point now)
{
    const auto route = routes_.find(packet.flow.destination);
    if (route == routes_.end())
    {
        const bool trusted =
            plan_confirmed_ &&
            now - *plan_confirmed_ <= settings_.plan_confirmation_lifetime;
        if (plan_version_ == 0 || !trusted)
        {
            return drop(token_drop_reason::no_plan);
        }
        ++counters_.resets;
        return reset_caller{};
    }
    const auto hash = mix_hashes(flow_hash{}(packet.flow), packet.sequence);
    std::uint32_t candidates = 0;
    const auto& service = select_service(route->second, hash);
    selection basis;
    auto* upstream = pool_.choose(service, record.tried_upstreams, hash, now,
                                  candidates, basis);
    if (upstream == nullptr)
    {
        return refuse(service, packet.repeated);
    }
    forward_packet decision{upstream->record.id,  upstream->record.address,
                            upstream->token,      reason,
                            upstream->open_flows, candidates};
    decision.by_joined_load = basis.basis == selection_basis::joined_load;
    decision.busy_percent = to_percent(basis.busy);
    decision.failing_percent = to_percent(basis.failing);
    decision.share_percent = to_percent(basis.share);
    ++(reason == forward_reason::placed ? counters_.placed
                                        : counters_.placed_anew);
    if (flows_.size() < settings_.max_flows || flows_.contains(packet.flow))
    {
        pool_.record_syn(*upstream, now);
        assign(record, *upstream);
        record.counted_as_open = true;
        record.last_syn = now;
        record.last_packet = now;
        flow_record kept = std::move(record);
        flows_.insert_or_assign(packet.flow, std::move(kept));
    }
    return decision;
}

// A gap in the list of upstreams is mostly shorter than the callers' pauses
// between SYNs; an evacuation lasts longer than callers wait. An upstream may
// have answered an earlier copy of a repeated SYN, so its flow is not reset.
token_decision token_router::refuse(const std::string& service, bool repeated)
{
    if (settings_.may_refuse && !repeated && pool_.is_evacuated(service))
    {
        ++counters_.evacuated;
        return reset_caller{reset_reason::evacuated};
    }
    return drop(token_drop_reason::no_upstream);
}

token_decision token_router::forward_by_token(const token_packet& packet)
{
    if (packet.token == 0)
    {
        return drop(token_drop_reason::no_token);
    }
    const auto* upstream = pool_.find_by_token(packet.token);
    if (upstream == nullptr)
    {
        return drop(token_drop_reason::unknown_token);
    }
    ++counters_.by_token;
    return forward_packet{upstream->record.id, upstream->record.address,
                          upstream->token, forward_reason::by_token};
}

token_decision token_router::continue_flow(const token_packet& packet,
                                           time_point now)
{
    auto* record = find_flow(packet.flow, now);
    if (record == nullptr || !belongs_to(packet, *record))
    {
        return forward_by_token(packet);
    }
    record->last_packet = now;
    if (record->phase == flow_phase::opening)
    {
        complete_handshake(packet, *record, now);
    }
    follow_request(packet, *record, now);
    const auto* upstream = pool_.find(record->upstream);
    if (packet.fin || packet.rst)
    {
        // A caller that sends no more may still wait for its answer.
        if (packet.rst)
        {
            end_request(*record, now);
        }
        if (record->phase == flow_phase::open)
        {
            lifetimes_.add(now - record->last_syn);
        }
        stop_counting(*record);
        record->phase = flow_phase::ended;
    }
    ++counters_.by_flow;
    return forward_packet{upstream->record.id, upstream->record.address,
                          upstream->token, forward_reason::by_flow};
}

// If several upstreams received the SYN, the token identifies the one that
// answered.
void token_router::complete_handshake(const token_packet& packet,
                                      flow_record& record, time_point now)
{
    handshakes_.add(now - record.last_syn);
    auto* placed = pool_.find(record.upstream);
    auto* answered =
        packet.token == 0 ? placed : pool_.find_by_token(packet.token);
    if (answered == nullptr || answered == placed)
    {
        pool_.record_answer(*placed, record.last_syn, now);
        record.phase = flow_phase::open;
        return;
    }
    std::erase(placed->unanswered, record.last_syn);
    stop_counting(record);
    record.tried_upstreams.push_back(record.upstream);
    assign(record, *answered);
    record.counted_as_open = true;
    ++answered->open_flows;
    record.phase = flow_phase::open;
}

void token_router::follow_request(const token_packet& packet,
                                  flow_record& record, time_point now)
{
    if (settings_.joins_load && record.phase != flow_phase::opening)
    {
        tracker_.follow(record.request, record.token, packet, now);
    }
}

void token_router::end_request(flow_record& record, time_point now)
{
    tracker_.end(record.request, record.token, now);
}

void token_router::stop_counting(flow_record& record)
{
    if (!record.counted_as_open)
    {
        return;
    }
    record.counted_as_open = false;
    auto* upstream = pool_.find(record.upstream);
    if (upstream != nullptr && upstream->token == record.token &&
        upstream->open_flows > 0)
    {
        --upstream->open_flows;
    }
}

void token_router::sweep(time_point now)
{
    for (auto it = flows_.begin(); it != flows_.end();)
    {
        auto& record = it->second;
        const auto silent = now - record.last_packet;
        tracker_.check(record.request, record.token, now);
        if (record.phase == flow_phase::opening &&
            silent >= settings_.handshake_timeout)
        {
            abandon_attempt(record, now);
            it = flows_.erase(it);
            continue;
        }
        if (silent >= settings_.idle_limit)
        {
            stop_counting(record);
        }
        const auto lifetime = record.phase == flow_phase::ended
                                  ? settings_.idle_limit
                                  : settings_.flow_lifetime;
        if (silent < lifetime)
        {
            ++it;
            continue;
        }
        end_request(record, now);
        it = flows_.erase(it);
    }
    pool_.expire(now);
}

} // namespace boragestand::traffic
