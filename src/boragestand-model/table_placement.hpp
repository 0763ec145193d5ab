#pragma once

#include "placement_design.hpp"

#include <vector>

namespace boragestand::model
{

/// Design that places each flow by rendezvous hashing alone, without holding
/// it.
class table_placement : public placement_design
{
public:
    explicit table_placement(callbacks actions);

    void arrive(const coordination::flow_arrival& arrival) override;
    void apply(const coordination::flow_observation& observation) override;
    void apply(const coordination::endpoint_report& report) override;
    void apply(const protocol::upstream_record& record) override;

private:
    callbacks callbacks_;
    std::vector<protocol::settled_upstream> upstreams_;
};

} // namespace boragestand::model
