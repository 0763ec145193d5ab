#pragma once

#include "base/base.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace boragestand::coordination
{

/// Owner and backups of flows by rendezvous hashing over a membership view,
/// and their owners under views of the recent past.
class ownership
{
public:
    /// The first instances in rendezvous order; value 0 where there are fewer.
    using ranking = std::array<instance_id, 3>;

    explicit ownership(instance_id self) : self_(self) {}

    /// Replaces the view.
    void set_view(const std::vector<instance_id>& members, time_point now);

    /// Keeps former views until this long after the last change.
    void expire(time_point now, duration retention);

    /// Adds members that came back with the flows that they owned on their side
    /// of a partition, when each side had declared the other one dead.
    void add_returned(const std::vector<instance_id>& members, time_point now);

    /// Called when a flow of this age was transferred: if the flow is older
    /// than the view, restarts the retention of the newest former view.
    void extend_former_views(duration flow_age, time_point now);

    /// Owner and the two instances after it.
    ranking rank(std::uint64_t flow_hash) const;

    /// The owner; value 0 if nobody can own flows.
    instance_id owner_of(std::uint64_t flow_hash) const;

    /// The owner if this instance could not own flows.
    instance_id owner_without_self(std::uint64_t flow_hash) const;

    /// Owner under the former view with this index, with the time for which
    /// that view was in force; empty beyond the last one. The view of members
    /// that came back is the first, then the newest.
    struct former_owner
    {
        instance_id instance;
        duration in_force{0};
    };
    std::optional<former_owner> find_former_owner(std::uint64_t flow_hash,
                                                  std::size_t index) const;

private:
    struct candidate
    {
        instance_id id;
        std::uint64_t mixed_id{0};
    };
    using candidates = std::vector<candidate>;

    struct former_view
    {
        candidates members;
        time_point begin;
        time_point end;
        time_point last_used; ///< from which its retention counts
    };

    static candidates make_candidates(const std::vector<instance_id>& members);
    static instance_id highest_ranked(const candidates& members,
                                      std::uint64_t flow_hash,
                                      instance_id excluded);

    instance_id self_;
    candidates current_;
    time_point current_since_{};
    std::deque<former_view> former_; ///< newest first
    candidates returned_;
    time_point returned_last_{};
};

} // namespace boragestand::coordination
