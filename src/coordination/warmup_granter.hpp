#pragma once

#include "coordination/directory_messages.hpp"

#include <map>

namespace boragestand::coordination
{

/// Limits of a warmup_granter.
struct warmup_granter_settings
{
    /// A cold upstream may get overrun times its rate plus slack new requests
    /// in any second, in sum over all entry instances.
    double overrun{1.0};
    double slack{0.0};
    /// Life of a grant at its holder: a directory request is answered within
    /// half a second, and one may fail.
    duration lifetime{std::chrono::milliseconds(1500)};

    auto operator<=>(const warmup_granter_settings&) const = default;
};

/// Hands out the rate of cold upstreams to entry instances, which do not see
/// each other's flows. The control instance that an upstream reports to grants
/// shares of its rate to a few of the entry instances that it serves; without a
/// grant an instance sends nothing there. An upstream whose answer was lost
/// reports to a second control instance, so each grants half of the bound at
/// most, and a holder that is not heard of keeps its part until its grant has
/// run out. Answers the load of a release or of a data centre that returns.
/// Does no I/O; times are passed in.
class warmup_granter
{
public:
    /// Grants nothing before the grants of an earlier run of this instance have
    /// run out, two lifetimes after start.
    warmup_granter(const warmup_granter_settings& settings, time_point start)
        : settings_(settings), grants_from_(start + 2 * settings.lifetime)
    {
    }

    /// Notes a heartbeat that the upstream sent to this instance.
    /// requests_per_1000_s is the rate of its service, 0 if it has none.
    void observe(const registered_upstream& record,
                 std::uint32_t requests_per_1000_s, time_point now);

    /// Grants for one of the entry instances that this instance serves.
    std::vector<warmup_grant>
    grants_for(const transport::endpoint& entry,
               const std::vector<transport::endpoint>& entries, time_point now);

    /// Number of cold upstreams that report here or have holders.
    std::size_t size() const { return upstreams_.size(); }

private:
    struct cold_upstream
    {
        std::uint64_t incarnation{0};
        double rate{0}; ///< requests a second
        time_point heard_at;
        time_point cold_until;
        /// When the part of each holder is free again.
        std::map<transport::endpoint, time_point> holders;
    };

    double budget(const cold_upstream& upstream) const;
    std::size_t holder_count(const cold_upstream& upstream) const;
    bool may_hold(std::uint64_t id, const cold_upstream& upstream,
                  const transport::endpoint& entry,
                  const std::vector<transport::endpoint>& entries) const;
    bool is_granted(const cold_upstream& upstream, time_point now) const;
    void expire(time_point now);

    warmup_granter_settings settings_;
    time_point grants_from_;
    std::map<std::uint64_t, cold_upstream> upstreams_;
};

} // namespace boragestand::coordination
