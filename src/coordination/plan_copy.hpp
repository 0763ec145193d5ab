#pragma once

#include "coordination/plan_messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace boragestand::coordination
{

/// What has to change so that a newer plan is in force.
struct plan_update
{
    std::uint64_t version{0};
    std::vector<std::shared_ptr<const state::service_route>> routes; ///< new
    std::vector<transport::endpoint> removed;
    std::optional<state::plan_settings> settings; ///< if they have changed
};

/// The plan of an entry instance and the part of a newer one that has arrived.
/// Pages may come from any control instance and from newer versions than the
/// pages before: what has arrived is kept, and only the parts of the plan that
/// differ in the end are requested again.
class plan_copy
{
public:
    /// Version of the complete plan, 0 if there is none.
    std::uint64_t version() const { return version_; }

    std::size_t size() const { return routes_.size(); }

    /// The next request of a transfer.
    plan_request make_request() const;

    /// Applies the answer. Returns the update once a plan is complete, none if
    /// further pages are needed or the sender has nothing newer.
    /// error_kind::malformed_message if the page makes no sense; what had
    /// arrived of the newer plan is then discarded.
    result<std::optional<plan_update>> apply(const plan_page& page);

    /// Replaces the plan by a whole one. None if it is not newer.
    std::optional<plan_update> replace(const state::routing_plan& plan);

    /// Whether part of a newer plan has arrived.
    bool is_partial() const { return after_ || part_count_ > 0; }

private:
    struct held_route
    {
        std::uint64_t digest{0};
        std::shared_ptr<const state::service_route> route;
    };

    const held_route* find(std::uint64_t position) const;
    result<void> stage(const std::string& encoded);
    void stage(std::uint64_t position, std::optional<held_route> route);
    result<std::optional<plan_update>> apply(const plan_changes& changes,
                                             const plan_page& page);
    result<std::optional<plan_update>> apply(const plan_parts& parts,
                                             const plan_page& page);
    result<std::optional<plan_update>> apply(const plan_comparison& comparison,
                                             const plan_page& page);
    result<void> stage_part(const plan_part& part);
    std::vector<std::uint64_t> part_digests() const;
    std::uint64_t digest() const;
    result<std::optional<plan_update>> commit(std::uint64_t version);
    void discard();

    std::map<std::uint64_t, held_route> routes_; ///< by position
    std::string settings_;                       ///< encoded
    std::uint64_t version_{0};
    std::uint64_t digest_{0}; ///< of the complete plan
    /// Changes that have arrived; none: removed.
    std::map<std::uint64_t, std::optional<held_route>> staged_;
    std::optional<std::string> staged_settings_;
    std::uint64_t routes_digest_{0}; ///< of the routes with those changes
    std::optional<std::uint64_t> after_;
    std::size_t part_count_{0}; ///< not 0: parts are compared
};

} // namespace boragestand::coordination
