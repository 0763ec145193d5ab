#pragma once

#include "coordination/coordination.hpp"
#include "replica/replica_event_log.hpp"

#include <optional>
#include <string_view>

namespace boragestand::fleet
{

/// Writes the log lines of the instances of a fleet: one for each decision and
/// each change of an instance's view of the fleet.
class fleet_log final : public replica::replica_event_log
{
public:
    using replica_event_log::replica_event_log;

    void started(replica_id self, const state::log_recovery& recovery) override;

    /// A committed plan was applied.
    void plan_applied(std::uint64_t index, std::uint64_t version,
                      std::uint64_t former, state::plan_outcome outcome);

    /// A plan was read from the instance's own disk; the group may have a newer
    /// one.
    void plan_loaded(std::uint64_t version, std::size_t routes);

    /// A committed evacuation order was applied.
    void evacuation_applied(const state::evacuation_order& order,
                            std::uint64_t index, bool changed);

    /// An operator's evacuation order was answered.
    void evacuation_answered(const state::evacuation_order& order,
                             std::string_view outcome, duration taken);

    /// An evacuation, or its end, is in force at this entry instance.
    void evacuation_in_force(const coordination::evacuation_notice& notice,
                             const transport::endpoint& source);

    /// An operator's plan was answered. version is 0 if it could not be read.
    void plan_answered(std::uint64_t version, std::uint64_t in_force,
                       std::string_view outcome, duration taken);

    /// A plan has routes of a kind that this version does not know; they are
    /// served like others.
    void unknown_kinds(std::uint64_t version, std::size_t routes);

    /// An operator's read was answered.
    void plan_read(std::uint64_t version, std::string_view outcome,
                   duration taken);

    /// A record of an upstream changed. source names its origin.
    void upstream_changed(const coordination::registered_upstream& record,
                          std::string_view source);

    /// A planned leave of an upstream was confirmed by a majority, or not.
    void leave_answered(std::uint64_t upstream, std::uint64_t sequence,
                        bool confirmed, duration taken);

    /// Contact to another instance was lost or regained.
    void contact_changed(std::string_view role, const transport::endpoint& peer,
                         bool in_contact, std::string_view reason);

    /// Another control instance is queried; rate-limited.
    void source_changed(const transport::endpoint& source,
                        std::string_view reason, time_point now);

    /// Another plan is in force at this entry instance.
    void plan_in_force(std::uint64_t version, std::uint64_t former,
                       std::size_t routes, const transport::endpoint& source);

    /// How the plan of one version arrived.
    struct plan_transfer
    {
        std::uint64_t version{0};
        std::size_t bytes{0};
        std::size_t pages{0};
        duration taken{0};      ///< from the first request to the last page
        duration processing{0}; ///< decoding and applying

        auto operator<=>(const plan_transfer&) const = default;
    };

    /// A plan arrived and is in force.
    void plan_received(const plan_transfer& transfer,
                       const transport::endpoint& source);

    /// A page of a plan did not arrive, after these bytes and pages of the
    /// transfer; rate-limited.
    void plan_interrupted(std::uint64_t version, std::size_t bytes,
                          std::size_t pages, std::string_view reason,
                          const transport::endpoint& source, time_point now);

    /// An unresponsive member is removed from the group.
    void member_removed(replica_id member, duration silence);

    /// The identity on this disk was retired by the group.
    void identity_retired(replica_id self);

    /// Start, stop or reload of the process.
    void lifecycle(std::string_view event, std::string_view detail);

protected:
    /// Address and the number of the disk: "10.4.0.5/99dc0fe5".
    std::string replica_text(replica_id id) const override;
};

/// Hexadecimal text of an identity, as in logs.
std::string identity_text(std::uint64_t id);

} // namespace boragestand::fleet
