#include "entry_reports.hpp"

namespace boragestand::control
{

entry_reports::entry_reports(
    const std::vector<settings::entry_identity>& entries)
{
    for (const auto& entry : entries)
    {
        reports_[entry.id].name = entry.name;
    }
}

result<bool> entry_reports::take(std::uint32_t instance,
                                 std::uint64_t incarnation,
                                 std::uint64_t revision, time_point now)
{
    const auto found = reports_.find(instance);
    if (found == reports_.end())
    {
        return failure(error_kind::not_found, "entry instance " +
                                                  std::to_string(instance) +
                                                  " is not in the settings");
    }
    auto& known = found->second;
    if (incarnation < known.incarnation)
    {
        return false;
    }
    const bool changed = !known.time || known.revision != revision;
    known.incarnation = incarnation;
    known.revision = revision;
    known.time = now;
    return changed;
}

std::vector<state::status_entry> entry_reports::list(time_point now) const
{
    std::vector<state::status_entry> entries;
    for (const auto& [id, known] : reports_)
    {
        state::status_entry entry{instance_id{id}, known.name, known.revision,
                                  std::nullopt};
        if (known.time)
        {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - *known.time);
            entry.age_ms = static_cast<std::uint64_t>(age.count());
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace boragestand::control
