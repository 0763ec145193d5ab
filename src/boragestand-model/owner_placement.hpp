#pragma once

#include "placement_design.hpp"

#include <vector>

namespace boragestand::model
{

/// owner_count owners, each with its own traffic_policy, that exchange load
/// reports with a delay.
class owner_placement : public placement_design
{
public:
    owner_placement(event_queue& events, const network_delays& delays,
                    callbacks actions);

    void arrive(const coordination::flow_arrival& arrival) override;
    void apply(const coordination::flow_observation& observation) override;
    void apply(const coordination::endpoint_report& report) override;
    void apply(const protocol::upstream_record& record) override;

private:
    static unsigned owner_of(std::uint64_t flow_hash);
    void poll(unsigned owner);
    void send_report(unsigned owner);
    void apply_decision(std::uint64_t ticket,
                        const coordination::admission& decision);
    wall_time wall_now() const;

    event_queue& events_;
    network_delays delays_;
    callbacks callbacks_;
    std::vector<coordination::traffic_policy> owners_;
};

} // namespace boragestand::model
