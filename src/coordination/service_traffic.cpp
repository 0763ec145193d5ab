#include "coordination/service_traffic.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragestand::coordination
{

namespace
{

// Interval at which idle flows are removed and upstream health is evaluated.
constexpr duration sweep_interval = std::chrono::milliseconds(50);

// Age at which the answer of a load endpoint is ignored: slots change faster.
constexpr duration endpoint_age_limit = std::chrono::milliseconds(500);

// A flow leaves the queue this many times its expected duration before its
// deadline.
constexpr int deadline_margin = 2;

// Accepted difference between a load endpoint and the flow counts, in flows.
constexpr std::uint32_t open_tolerance = 16;

running_limits limits_of(const state::service& definition)
{
    running_limits limits;
    limits.silent_limit = std::chrono::milliseconds(definition.short_limit_ms);
    return limits;
}

template <typename Item>
std::vector<Item> items_of_service(const std::vector<Item>& items,
                                   service_id id)
{
    std::vector<Item> found;
    std::copy_if(items.begin(), items.end(), std::back_inserter(found),
                 [id](const Item& item) { return item.service == id; });
    return found;
}

} // namespace

service_traffic::service_traffic(instance_id self, service_id id,
                                 const traffic_settings& settings)
    : id_(id)
    , settings_(settings)
    , health_(id, health_limits{.ejection_percent = settings.ejection_percent})
    , running_(running_limits{})
    , load_(self)
    , queue_(settings.aging_limit)
    , episode_(self, id)
{
}

void service_traffic::apply(const state::configuration& configuration,
                            const clock_reading& clock)
{
    clock_ = clock;
    const state::service* found = configuration.find_service(id_);
    configured_ = found != nullptr;
    if (found != nullptr)
    {
        definition_ = *found;
        running_.set_limits(limits_of(definition_));
    }
    directory_.apply(items_of_service(configuration.overrides, id_));
    rules_.apply(items_of_service(configuration.rules, id_));
    refusals_.apply(items_of_service(configuration.agreements, id_));
    rebuild_active_set(clock.now);
}

bool service_traffic::apply(const protocol::upstream_record& record,
                            time_point now)
{
    if (!directory_.apply(record, now))
    {
        return false;
    }
    rebuild_active_set(now);
    return true;
}

void service_traffic::apply(instance_id from,
                            std::vector<protocol::upstream_load> loads,
                            time_point now)
{
    load_.apply(from, std::move(loads), now);
}

void service_traffic::apply(const endpoint_report& report, time_point now)
{
    health_.record(report, now);
    const std::uint32_t counted = load_.estimate(report.upstream).open;
    const std::uint32_t tolerance = std::max(open_tolerance, counted / 4);
    const std::uint32_t difference =
        report.open > counted ? report.open - counted : counted - report.open;
    if (difference > tolerance || report.running > counted + open_tolerance)
    {
        health_.record_load_contradiction(report.upstream, now);
        endpoint_loads_.erase(report.upstream);
        return;
    }
    if (health_.trusts_endpoints(report.upstream, now))
    {
        endpoint_loads_[report.upstream] = {report.running, now};
    }
}

admission service_traffic::admit(const flow_arrival& arrival, time_point now)
{
    if (!configured_)
    {
        return dropped{drop_reason::unknown_service};
    }
    if (arrival.work != protocol::request_class::unspecified)
    {
        return admit_classified(arrival, now);
    }
    flow_arrival classified = arrival;
    classified.work = definition_.work;
    return admit_classified(classified, now);
}

admission service_traffic::admit_classified(const flow_arrival& arrival,
                                            time_point now)
{
    advance(now);
    if (active_.empty())
    {
        return dropped{drop_reason::no_upstream};
    }
    std::uint16_t share = 0;
    for (const state::rule* rule : rules_.matching(arrival))
    {
        if (rule->action == state::rule_action::share)
        {
            share = rules_.share_number(rule->name);
        }
        if (rule->action != state::rule_action::refuse)
        {
            break;
        }
        const auto agreement =
            refusals_.acquire(rule->name, now, clock_.wall_at(now));
        if (agreement)
        {
            return refused{*agreement};
        }
    }
    const bool is_long = arrival.work == protocol::request_class::long_work;
    if (!queue_.must_wait(is_long, share, now))
    {
        if (const auto chosen = place(arrival, share, now))
        {
            return *chosen;
        }
    }
    return hold(arrival, share, now);
}

// A flow without a deadline may wait for the hold limit of the service. A flow
// with a deadline waits until it could no longer be answered in time, but for
// at least half of its remaining time, since the expected duration may be
// wrong.
duration service_traffic::wait_limit(const flow_arrival& arrival) const
{
    const duration limit = std::chrono::milliseconds(definition_.hold_limit_ms);
    if (arrival.time_left <= duration(0) || arrival.time_left == limit)
    {
        return limit;
    }
    const bool is_long = arrival.work == protocol::request_class::long_work;
    const duration margin = deadline_margin * times_.mean_open_time(is_long);
    return std::min(arrival.time_left - std::min(margin, arrival.time_left / 2),
                    limit);
}

admission service_traffic::hold(const flow_arrival& arrival,
                                std::uint16_t share, time_point now)
{
    const duration wait = wait_limit(arrival);
    if (queue_.push({arrival, share, now, now + wait},
                    definition_.hold_capacity))
    {
        return held{};
    }
    if (share == 0)
    {
        report_overload("hold queue full", now);
    }
    return dropped{drop_reason::hold_queue_full};
}

std::optional<placed> service_traffic::place(const flow_arrival& arrival,
                                             std::uint16_t share,
                                             time_point now)
{
    const auto default_choice = rendezvous_choice(active_, arrival.flow_hash);
    if (!default_choice || share_used_up(share))
    {
        return std::nullopt;
    }
    update_candidate_loads(now);
    placement_request request;
    request.flow_hash = arrival.flow_hash;
    request.is_long = arrival.work == protocol::request_class::long_work;
    request.may_deviate = arrival.may_deviate;
    request.slots_limit_flows = running_.slots_limit_flows();
    request.imbalance_percent = settings_.imbalance_percent;
    const auto choice = choose_upstream(candidates_, *default_choice, request);
    if (!choice)
    {
        return std::nullopt;
    }
    start(arrival, choice->upstream, share, now);
    return placed{choice->upstream, directory_.find(choice->upstream)->address,
                  choice->reason};
}

void service_traffic::start(const flow_arrival& arrival, upstream_id upstream,
                            std::uint16_t share, time_point now)
{
    running_flow flow;
    flow.upstream = upstream;
    flow.active_since = now;
    flow.last_progress = now;
    flow.share = share;
    flow.occupies_slot = true;
    flow.is_long = arrival.work == protocol::request_class::long_work;
    running_.start(arrival.flow_hash, flow);
    load_.add_open_flow(upstream);
    load_.add_running_flow(upstream, flow.is_long);
    if (share != 0)
    {
        ++share_running_[share];
    }
}

bool service_traffic::share_used_up(std::uint16_t share) const
{
    const state::rule* rule = rules_.share_rule(share);
    if (rule == nullptr)
    {
        return false;
    }
    std::uint32_t slots = 0;
    for (const placement_candidate& candidate : candidates_)
    {
        slots += candidate.slots;
    }
    const auto found = share_running_.find(share);
    const std::uint32_t running =
        found == share_running_.end() ? 0 : found->second;
    // Each owner gets an equal part of the share, but at least one slot, since
    // its callers would never be served otherwise.
    const std::uint32_t part =
        slots * rule->share_percent / 100 / load_.owner_count();
    return rule->share_percent == 0 || running >= std::max(part, 1u);
}

bool service_traffic::cancel(hold_ticket ticket)
{
    return queue_.cancel(ticket).has_value();
}

void service_traffic::record(const flow_observation& observation,
                             time_point now)
{
    health_.record(observation, now);
    times_.record(observation);
    if (std::holds_alternative<flow_adopted>(observation.event))
    {
        load_.add_open_flow(observation.upstream);
        return;
    }
    if (std::holds_alternative<flow_ended>(observation.event))
    {
        end_flow(observation);
        return;
    }
    if (std::holds_alternative<flow_became_long>(observation.event))
    {
        if (const auto flow = running_.mark_long(observation.flow_hash))
        {
            load_.mark_long(flow->upstream);
        }
        return;
    }
    if (!std::holds_alternative<flow_progressed>(observation.event))
    {
        return;
    }
    const bool is_long = observation.work == protocol::request_class::long_work;
    const auto flow = running_.record_progress(
        observation.flow_hash, observation.upstream, is_long, now);
    if (flow)
    {
        load_.add_running_flow(flow->upstream, flow->is_long);
    }
}

void service_traffic::end_flow(const flow_observation& observation)
{
    load_.remove_open_flow(observation.upstream);
    if (const auto flow = running_.end(observation.flow_hash))
    {
        release_slot(*flow);
    }
}

void service_traffic::release_slot(const running_flow& flow)
{
    load_.remove_running_flow(flow.upstream, flow.is_long);
    if (flow.share != 0)
    {
        --share_running_[flow.share];
    }
}

void service_traffic::add_to_report(protocol::load_report& report)
{
    load_.add_to_report(id_, report);
}

std::optional<director_request>
service_traffic::due_director_request(time_point now)
{
    return episode_.due_request(now);
}

void service_traffic::acknowledge_director_request(std::uint64_t episode)
{
    episode_.acknowledge(episode);
}

std::span<const protocol::settled_upstream> service_traffic::active_set() const
{
    return active_;
}

std::vector<traffic_event> service_traffic::take_events()
{
    auto events = std::exchange(events_, {});
    const auto health_events = health_.take_events();
    events.insert(events.end(), health_events.begin(), health_events.end());
    return events;
}

void service_traffic::advance(time_point now)
{
    if (now >= next_sweep_)
    {
        next_sweep_ = now + sweep_interval;
        load_.advance(now);
        episode_.advance(now);
        for (const running_flow& flow : running_.take_idle_flows(now))
        {
            release_slot(flow);
        }
        next_change_ = time_point::min();
    }
    if (now >= next_change_)
    {
        rebuild_active_set(now);
    }
}

void service_traffic::rebuild_active_set(time_point now)
{
    directory_.forget_old(now);
    const auto ready = directory_.ready(now);
    std::vector<upstream_id> ids;
    for (const ready_upstream& candidate : ready)
    {
        ids.push_back(candidate.record->upstream);
    }
    health_.update(ids, now);
    active_.clear();
    candidates_.clear();
    for (const auto& [record, full_weight] : ready)
    {
        if (health_.is_ejected(record->upstream))
        {
            continue;
        }
        const bool trial = health_.is_on_trial(record->upstream);
        const auto weight =
            trial ? std::max<std::uint16_t>(full_weight / warmup_steps, 1)
                  : full_weight;
        active_.push_back({record->upstream, weight});
        candidates_.push_back({record->upstream,
                               weight,
                               record->slots,
                               record->slots,
                               record->connections,
                               true,
                               {}});
    }
    next_change_ = directory_.next_change(now);
}

void service_traffic::update_candidate_loads(time_point now)
{
    for (placement_candidate& candidate : candidates_)
    {
        candidate.load = load_.estimate(candidate.upstream);
        candidate.reserved = load_.may_fill_with_long(candidate.upstream);
        const std::uint32_t long_work =
            std::min(candidate.load.long_work, candidate.slots);
        candidate.flow_limit =
            long_work + times_.flows_to_fill(candidate.slots - long_work);
        const auto reported = endpoint_loads_.find(candidate.upstream);
        if (reported != endpoint_loads_.end() &&
            now < reported->second.received_at + endpoint_age_limit)
        {
            candidate.load.running =
                std::max(candidate.load.running, reported->second.running);
        }
    }
}

} // namespace boragestand::coordination
