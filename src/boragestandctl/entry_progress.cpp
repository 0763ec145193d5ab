#include "entry_progress.hpp"

#include <map>

namespace boragestand::ctl
{

namespace
{

/// Interval of status requests while waiting for a note to take effect.
constexpr duration poll_interval = std::chrono::milliseconds(100);

/// Keeps the newer of two reports: revisions never decrease, so the report with
/// the greater revision is newer; at equal revisions the lower age wins.
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
copy_values(const std::map<instance_id, state::status_entry>& entries)
{
    std::vector<state::status_entry> values;
    for (const auto& [id, entry] : entries)
    {
        values.push_back(entry);
    }
    return values;
}

void add_members(const state::control_status& status, control_group& group)
{
    for (const state::status_member& member : status.members)
    {
        if (const auto address = transport::parse_endpoint(member.http))
        {
            group.add_instance(*address);
        }
    }
}

} // namespace

group_status fetch_group_status(control_group& group)
{
    group_status current;
    std::map<instance_id, state::status_entry> entries;
    for (group_answer& answer : group.ask_all({"GET", "/v1/status", {}, ""}))
    {
        if (!answer.response || answer.response->status != 200)
        {
            current.failures.push_back(std::move(answer));
            continue;
        }
        auto status = state::control_status_from_json(answer.response->body);
        if (!status)
        {
            answer.response = tl::unexpected(status.error());
            current.failures.push_back(std::move(answer));
            continue;
        }
        for (const state::status_entry& entry : status->entries)
        {
            merge(entries.try_emplace(entry.id, entry).first->second, entry);
        }
        add_members(*status, group);
        current.statuses.push_back(*std::move(status));
    }
    current.entries = copy_values(entries);
    return current;
}

revision_coverage
split_by_revision(std::uint64_t revision,
                  const std::vector<state::status_entry>& entries)
{
    revision_coverage coverage;
    for (const state::status_entry& entry : entries)
    {
        const bool has_revision = entry.age_ms && entry.revision >= revision;
        (has_revision ? coverage.in_effect : coverage.not_reached)
            .push_back(entry);
    }
    return coverage;
}

revision_coverage wait_until_in_effect(std::uint64_t revision,
                                       control_group& group)
{
    // The last status request may be cut off by the timeout, so an earlier
    // report of an instance counts until a newer one replaces it.
    std::map<instance_id, state::status_entry> known;
    while (true)
    {
        for (const state::status_entry& entry :
             fetch_group_status(group).entries)
        {
            known.insert_or_assign(entry.id, entry);
        }
        revision_coverage coverage =
            split_by_revision(revision, copy_values(known));
        const bool complete = !known.empty() && coverage.not_reached.empty();
        if (complete || group.has_timed_out())
        {
            return coverage;
        }
        group.wait(poll_interval);
    }
}

std::string format_progress(const state::status_entry& entry)
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

nlohmann::json entries_to_json(const std::vector<state::status_entry>& entries)
{
    state::control_status holder;
    holder.entries = entries;
    return state::to_json(holder).at("entries");
}

} // namespace boragestand::ctl
