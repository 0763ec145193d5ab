#include "table_placement.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::model
{

table_placement::table_placement(reactions react) : react_(std::move(react))
{
    for (unsigned index = 0; index < upstream_count; ++index)
    {
        set_.push_back({record_of(index).upstream, 100});
    }
    std::sort(set_.begin(), set_.end());
}

void table_placement::arrive(const coordination::flow_arrival& arrival)
{
    const auto choice =
        coordination::rendezvous_choice(set_, arrival.flow_hash);
    react_.placed(arrival.ticket.value, *choice);
}

void table_placement::note(const coordination::flow_observation& /*evidence*/)
{
}

void table_placement::note(const coordination::endpoint_report& /*report*/) {}

// A table gives a restarted upstream its full part at once.
void table_placement::note(const protocol::upstream_record& /*record*/) {}

} // namespace boragestand::model
