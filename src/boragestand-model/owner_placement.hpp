#pragma once

#include "placement_design.hpp"

#include <vector>

namespace boragestand::model
{

/// Six owners, each with a traffic_policy of its own, that learn each other's
/// load from delayed reports.
class owner_placement : public placement_design
{
public:
    owner_placement(event_queue& events, const network_delays& delays,
                    reactions react);

    void arrive(const coordination::flow_arrival& arrival) override;
    void note(const coordination::flow_observation& evidence) override;
    void note(const coordination::endpoint_report& report) override;
    void note(const protocol::upstream_record& record) override;

private:
    static unsigned owner_of(std::uint64_t flow_hash);
    void poll(unsigned owner);
    void send_report(unsigned owner);
    void react(std::uint64_t ticket, const coordination::admission& decision);
    wall_time wall_now() const;

    event_queue& events_;
    network_delays delays_;
    reactions react_;
    std::vector<coordination::traffic_policy> owners_;
};

} // namespace boragestand::model
