#include "fleet/control_node.hpp"

#include "document/document.hpp"

#include <algorithm>
#include <limits>

namespace boragestand::fleet
{

namespace
{

std::uint32_t bounded_ms(duration span)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(milliseconds, 0, longest));
}

} // namespace

// The register does not hold times, so the end counts from when it became known
// here.
void control_node::record_ended_evacuations()
{
    for (const auto& [data_centre, entry] : machine_.evacuations().entries())
    {
        const auto known = evacuations_ended_.find(data_centre);
        const bool is_new = known == evacuations_ended_.end() ||
                            known->second.index != entry.index;
        if (!entry.active && is_new)
        {
            evacuations_ended_[data_centre] = {entry.index, timers_.now()};
        }
    }
}

// As with the plan, the saved evacuations may be newer than those known to be
// committed.
std::vector<coordination::evacuation_notice> control_node::evacuations() const
{
    const auto now = timers_.now();
    auto notices = saved_evacuations_;
    std::vector<coordination::evacuation_notice> committed;
    for (const auto& [data_centre, entry] : machine_.evacuations().entries())
    {
        committed.push_back({data_centre, entry.active, entry.index, 0});
    }
    coordination::merge_evacuations(notices, committed);
    for (auto& notice : notices)
    {
        const auto ended = evacuations_ended_.find(notice.data_centre);
        if (!notice.active && ended != evacuations_ended_.end())
        {
            notice.ended_ms = bounded_ms(now - ended->second.at);
        }
    }
    return notices;
}

// A data centre that was evacuated stays known, so that the order can be resent
// and revoked after its upstreams are gone.
bool control_node::is_known_data_centre(const std::string& name) const
{
    if (document::check_name(name))
    {
        return false;
    }
    const auto& listed = settings_.data_centres;
    return listed.empty() ||
           std::find(listed.begin(), listed.end(), name) != listed.end() ||
           machine_.evacuations().entries().contains(name) ||
           registry_.has_data_centre(name);
}

// Each order goes through the log: an instance that is no longer the leader may
// hold an older state and must not answer from it.
void control_node::submit(const state::evacuation_order& order,
                          done_callback callback)
{
    if (!runner_->is_leader())
    {
        callback(failure(error_kind::not_leader, "another instance leads"));
        return;
    }
    if (!is_known_data_centre(order.data_centre))
    {
        callback(
            failure(error_kind::not_found,
                    "data centre \"" + order.data_centre + "\" is not known"));
        return;
    }
    runner_->submit(
        state::encode_command(order),
        [this, callback = std::move(callback), order,
         started = timers_.now()](const result<std::uint64_t>& index)
        {
            log_.evacuation_answered(
                order,
                index ? "acknowledged"
                      : error_info_for(index.error().kind).name,
                timers_.now() - started);
            runner_->defer([callback, index]
                           { callback(index.map([](auto) {})); });
        });
}

void control_node::append_evacuation_metrics(std::string& text) const
{
    const auto notices = evacuations();
    if (notices.empty())
    {
        return;
    }
    coordination::append_evacuations(text, notices);
    append_gauge(text, "boragestand_entries_with_evacuations",
                 "Entry instances that hold the newest evacuation order",
                 directory_.entry_count_with_evacuations(
                     coordination::newest_index(notices)));
}

} // namespace boragestand::fleet
