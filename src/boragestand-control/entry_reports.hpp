#pragma once

#include "settings/settings.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <map>
#include <vector>

namespace boragestand::control
{

/// What entry instances have reported to this control instance.
class entry_reports
{
public:
    explicit entry_reports(
        const std::vector<settings::entry_identity>& entries);

    /// Takes a report; true if the revision is another than before. Reports of
    /// an earlier incarnation are ignored; error_kind::not_found for an
    /// instance that is not in the settings.
    result<bool> take(std::uint32_t instance, std::uint64_t incarnation,
                      std::uint64_t revision, time_point now);

    /// All entry instances of the settings, for the status.
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
