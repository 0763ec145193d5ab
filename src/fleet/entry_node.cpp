#include "fleet/entry_node.hpp"

#include "base/metrics_text.hpp"
#include "fleet/fleet_times.hpp"

#include <utility>

namespace boragestand::fleet
{

namespace
{

constexpr duration sweep_interval = std::chrono::milliseconds(200);

// A report covers at least this time: the packets of a second show how busy an
// upstream is, and a report has up to 1,500 bytes.
constexpr duration load_report_interval = std::chrono::seconds(1);

void append_load_metrics(std::string& text,
                         const traffic::load_summary& summary)
{
    constexpr double percent = 100.0;
    append_gauge(
        text, "boragestand_load_age_milliseconds",
        "Age of the joined load in use",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(summary.age)
                .count()));
    append_gauge(text, "boragestand_load_usable",
                 "1 if upstreams are selected by joined load",
                 summary.usable ? 1 : 0);
    append_gauge(text, "boragestand_upstreams_suspected",
                 "Upstreams that get less for slow or missing answers",
                 summary.suspected);
    append_gauge(text, "boragestand_upstreams_recovering",
                 "Upstreams in slow start", summary.recovering);
    append_gauge(text, "boragestand_upstream_use_mean_percent",
                 "Requests in progress for each slot, in hundredths",
                 static_cast<std::uint64_t>(percent * summary.mean_use));
    append_gauge(text, "boragestand_upstream_use_max_percent",
                 "The same of the busiest upstream",
                 static_cast<std::uint64_t>(percent * summary.max_use));
}

} // namespace

entry_node::entry_node(transport::main_loop& loop,
                       transport::timer_service& timers,
                       const entry_node_settings& settings, fleet_log& log)
    : timers_(timers)
    , settings_(settings)
    , log_(log)
    , router_(settings.router)
    , plan_(timers, log,
            {[this](std::uint64_t version)
             { return directory_.plan_source(version); },
             [this](const coordination::plan_update& update,
                    const transport::endpoint& source)
             {
                 put_into_force(update, source);
             }})
    , directory_(loop, timers, settings.seeds, settings.address.address, log,
                 {[this] { return make_request(); },
                  [this](const directory_update& update,
                         const transport::endpoint& source)
                  {
                      apply_update(update, source);
                  }})
    , started_(timers.now())
{
    sweep_ = timers.every(sweep_interval,
                          [this](time_point now) { router_.sweep(now); });
}

coordination::directory_request entry_node::make_request()
{
    coordination::directory_request request;
    request.sender = settings_.address;
    request.plan_version = router_.plan_version();
    request.evacuation_index = coordination::newest_index(evacuations_);
    request.load = make_load_report(timers_.now());
    return request;
}

std::string entry_node::make_load_report(time_point now)
{
    const bool due =
        !load_reported_ || now - *load_reported_ >= load_report_interval;
    if (!settings_.router.joins_load || !due)
    {
        return {};
    }
    load_reported_ = now;
    // The start distinguishes this run from an earlier one at the address.
    const auto run =
        static_cast<std::uint64_t>(started_.time_since_epoch().count());
    return coordination::encode_evidence(
        {run, ++load_sequence_, router_.take_evidence(now)});
}

void entry_node::apply_load(const std::string& aggregate,
                            const transport::endpoint& source,
                            time_point asked_at)
{
    if (aggregate.empty() || !settings_.router.joins_load)
    {
        return;
    }
    const auto decoded = coordination::decode_evidence(aggregate);
    if (!decoded)
    {
        log_.bad_input("load", decoded.error(), source, timers_.now());
        return;
    }
    router_.apply(*decoded, asked_at);
}

void entry_node::apply_evacuations(
    const std::vector<coordination::evacuation_notice>& received,
    const transport::endpoint& source)
{
    const auto added = coordination::merge_evacuations(evacuations_, received);
    for (const auto& notice : added)
    {
        log_.evacuation_in_force(notice, source);
        router_.apply(notice, timers_.now());
    }
}

void entry_node::apply_update(const directory_update& update,
                              const transport::endpoint& source)
{
    const auto& reply = update.reply;
    if (update.scope == reply_scope::changes)
    {
        for (const auto& record : reply.upstreams)
        {
            log_.upstream_changed(record, transport::to_string(source));
        }
    }
    apply_evacuations(reply.evacuations, source);
    const bool complete = update.scope == reply_scope::whole && reply.current;
    router_.apply(reply.upstreams, complete, timers_.now());
    // The reply may have waited since it was written, for example while this
    // process was paused.
    router_.apply(reply.grants, update.asked_at);
    apply_load(reply.load, source, update.asked_at);
    if (reply.plan)
    {
        plan_.replace(*reply.plan, source);
    }
    plan_.follow(reply.plan_version);
    if (reply.current && reply.plan_version <= router_.plan_version())
    {
        router_.confirm_plan(update.asked_at);
    }
}

void entry_node::put_into_force(const coordination::plan_update& update,
                                const transport::endpoint& source)
{
    const auto former = router_.plan_version();
    router_.apply(update);
    log_.plan_in_force(update.version, former, router_.route_count(), source);
    if (former == 0 && first_plan_callback_)
    {
        std::exchange(first_plan_callback_, {})();
    }
}

traffic::token_decision entry_node::decide(const traffic::token_packet& packet,
                                           time_point now)
{
    return router_.decide(packet, now);
}

bool entry_node::is_ready() const
{
    if (router_.plan_version() == 0)
    {
        return false;
    }
    return directory_.last_current().has_value() ||
           timers_.now() - started_ >= ready_without_contact;
}

std::optional<duration> entry_node::directory_age(time_point now) const
{
    const auto last = directory_.last_reply();
    return last ? std::optional(now - *last) : std::nullopt;
}

std::string entry_node::metrics(time_point now) const
{
    const auto& counters = router_.counters();
    std::string text;
    append_counter(text, "boragestand_flows_placed_total",
                   "New flows placed on an upstream", counters.placed);
    append_counter(text, "boragestand_flows_placed_anew_total",
                   "Repeated SYNs sent to another upstream",
                   counters.placed_anew);
    append_counter(text, "boragestand_syns_unanswered_total",
                   "SYNs that no upstream answered", counters.unanswered);
    append_counter(text, "boragestand_packets_by_flow_total",
                   "Packets of flows that are known here", counters.by_flow);
    append_counter(text, "boragestand_packets_by_token_total",
                   "Packets sent on by their token", counters.by_token);
    append_counter(text, "boragestand_resets_total",
                   "SYNs to destinations without a route", counters.resets);
    append_counter(text, "boragestand_evacuated_resets_total",
                   "SYNs refused because all upstreams are evacuated",
                   counters.evacuated);
    append_header(text, "boragestand_drops_total",
                  "Packets dropped without an answer", "counter");
    for (std::size_t i = 0; i < counters.drops.size(); ++i)
    {
        const auto reason = static_cast<traffic::token_drop_reason>(i);
        text += "boragestand_drops_total{reason=\"" +
                std::string(traffic::to_text(reason)) + "\"} " +
                std::to_string(counters.drops[i]) + '\n';
    }
    append_gauge(text, "boragestand_flows", "Flows known here",
                 router_.flow_count());
    append_gauge(text, "boragestand_upstreams", "Upstreams known",
                 router_.upstream_count());
    append_gauge(text, "boragestand_plan_version",
                 "Version of the plan in force", router_.plan_version());
    plan_.append_metrics(text, now);
    if (!evacuations_.empty())
    {
        coordination::append_evacuations(text, evacuations_);
    }
    if (settings_.router.joins_load)
    {
        append_load_metrics(text, router_.load_summary_at(now));
    }
    const auto age = directory_age(now).value_or(now - started_);
    append_gauge(text, "boragestand_directory_age_milliseconds",
                 "Time since a control instance replied",
                 static_cast<std::uint64_t>(
                     std::chrono::duration_cast<std::chrono::milliseconds>(age)
                         .count()));
    router_.handshakes().append_to(text, "boragestand_handshake_seconds",
                                   "From a SYN to the next packet of its flow");
    router_.lifetimes().append_to(text, "boragestand_flow_seconds",
                                  "From the opening of a flow to its end");
    return text;
}

} // namespace boragestand::fleet
