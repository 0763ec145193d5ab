#include "table_placement.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::model
{

table_placement::table_placement(callbacks actions)
    : callbacks_(std::move(actions))
{
    for (unsigned index = 0; index < upstream_count; ++index)
    {
        upstreams_.push_back({make_upstream_record(index).upstream, 100});
    }
    std::sort(upstreams_.begin(), upstreams_.end());
}

void table_placement::arrive(const coordination::flow_arrival& arrival)
{
    const auto choice =
        coordination::rendezvous_choice(upstreams_, arrival.flow_hash);
    callbacks_.placed(arrival.ticket.value, *choice);
}

void table_placement::apply(
    const coordination::flow_observation& /*observation*/)
{
}

void table_placement::apply(const coordination::endpoint_report& /*report*/) {}

// A table gives a restarted upstream its full share without warm-up.
void table_placement::apply(const protocol::upstream_record& /*record*/) {}

} // namespace boragestand::model
