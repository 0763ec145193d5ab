#include "entry_progress.hpp"

#include <map>

namespace boragestand::ctl
{

namespace
{

/// Time between two looks at the status while a note spreads.
constexpr duration poll_interval = std::chrono::milliseconds(100);

/// Keeps the newer of two reports: a revision never decreases, so the greater
/// one is newer; of equal ones the younger.
void merge(state::status_entry& target, const state::status_entry& other)
{
    if (other.revision > target.revision)
    {
        target = other;
        return;
    }
    const bool younger =
        other.age_ms && (!target.age_ms || *other.age_ms < *target.age_ms);
    if (other.revision == target.revision && younger)
    {
        target.age_ms = other.age_ms;
    }
}

std::vector<state::status_entry>
values_of(const std::map<instance_id, state::status_entry>& entries)
{
    std::vector<state::status_entry> values;
    for (const auto& [id, entry] : entries)
    {
        values.push_back(entry);
    }
    return values;
}

void learn_members(const state::control_status& status, control_group& group)
{
    for (const state::status_member& member : status.members)
    {
        if (const auto address = transport::parse_endpoint(member.http))
        {
            group.learn(*address);
        }
    }
}

} // namespace

group_view view_of(control_group& group)
{
    group_view view;
    std::map<instance_id, state::status_entry> entries;
    for (group_answer& answer : group.ask_all({"GET", "/v1/status", {}, ""}))
    {
        if (!answer.response || answer.response->status != 200)
        {
            view.failures.push_back(std::move(answer));
            continue;
        }
        auto status = state::control_status_from_json(answer.response->body);
        if (!status)
        {
            answer.response = tl::unexpected(status.error());
            view.failures.push_back(std::move(answer));
            continue;
        }
        for (const state::status_entry& entry : status->entries)
        {
            merge(entries.try_emplace(entry.id, entry).first->second, entry);
        }
        learn_members(*status, group);
        view.statuses.push_back(*std::move(status));
    }
    view.entries = values_of(entries);
    return view;
}

reach reach_of(std::uint64_t revision,
               const std::vector<state::status_entry>& entries)
{
    reach split;
    for (const state::status_entry& entry : entries)
    {
        const bool there = entry.age_ms && entry.revision >= revision;
        (there ? split.in_effect : split.missing).push_back(entry);
    }
    return split;
}

reach wait_until_in_effect(std::uint64_t revision, control_group& group)
{
    // The last look may be cut short, so earlier ones count until a newer one
    // names the same instance.
    std::map<instance_id, state::status_entry> known;
    while (true)
    {
        for (const state::status_entry& entry : view_of(group).entries)
        {
            known.insert_or_assign(entry.id, entry);
        }
        reach split = reach_of(revision, values_of(known));
        const bool complete = !known.empty() && split.missing.empty();
        if (complete || group.is_over())
        {
            return split;
        }
        group.wait(poll_interval);
    }
}

std::string progress_text(const state::status_entry& entry)
{
    if (!entry.age_ms)
    {
        return "never reported";
    }
    const std::uint64_t tenths = *entry.age_ms / 100;
    return "revision " + std::to_string(entry.revision) + ", last report " +
           std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) +
           " s ago";
}

nlohmann::json json_of(const std::vector<state::status_entry>& entries)
{
    state::control_status holder;
    holder.entries = entries;
    return state::to_json(holder).at("entries");
}

} // namespace boragestand::ctl
