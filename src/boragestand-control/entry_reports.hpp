#pragma once

#include "settings/settings.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <map>
#include <vector>

namespace boragestand::control
{

/// The latest report of each entry instance to this control instance.
class entry_reports
{
public:
    explicit entry_reports(
        const std::vector<settings::entry_identity>& entries);

    /// Records a report; returns whether the revision changed. Reports of an
    /// earlier incarnation are ignored. Fails with error_kind::not_found for an
    /// instance that is not in the settings.
    result<bool> record(std::uint32_t instance, std::uint64_t incarnation,
                        std::uint64_t revision, time_point now);

    /// Lists all entry instances of the settings for the status.
    std::vector<state::status_entry> list(time_point now) const;

private:
    struct report
    {
        std::string name;
        std::uint64_t incarnation{0};
        std::uint64_t revision{0};
        std::optional<time_point> time;
    };

    std::map<std::uint32_t, report> reports_;
};

} // namespace boragestand::control
