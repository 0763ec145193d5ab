#pragma once

#include "placement_design.hpp"

#include <vector>

namespace boragestand::model
{

/// Consistent hashing only: every flow goes to its choice at once.
class table_placement : public placement_design
{
public:
    explicit table_placement(reactions react);

    void arrive(const coordination::flow_arrival& arrival) override;
    void note(const coordination::flow_observation& evidence) override;
    void note(const coordination::endpoint_report& report) override;
    void note(const protocol::upstream_record& record) override;

private:
    reactions react_;
    std::vector<protocol::settled_upstream> set_;
};

} // namespace boragestand::model
