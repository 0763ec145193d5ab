#pragma once

#include "coordination/upstream_directory.hpp"
#include "routing_design.hpp"

#include <unordered_map>

namespace boragestand::model
{

/// Design in which each instance applies rendezvous hashing to the upstreams
/// that it knows as ready. With a cache, an instance remembers the upstream of
/// each flow that it has seen. Changes reach the instances with different
/// delays.
class table_routing : public routing_design
{
public:
    table_routing(event_queue& events, std::uint64_t seed, bool with_cache,
                  delivery deliver);

    void handle_packet(unsigned instance,
                       const coordination::packet_event& event) override;
    void announce(unsigned instance,
                  const protocol::upstream_record& record) override;
    void configure(
        std::shared_ptr<const state::configuration> configuration) override;
    void start(unsigned instance) override;
    void stop(unsigned instance) override;
    void kill(unsigned instance) override;
    bool runs(unsigned instance) const override;
    void set_partition_after(unsigned instance) override
    {
        partition_after_ = instance;
    }
    std::uint64_t control_bytes() const override { return control_bytes_; }

private:
    struct table_instance
    {
        bool running{false};
        coordination::upstream_directory directory;
        std::unordered_map<std::uint64_t, upstream_id> cache;
    };

    bool connected(unsigned left, unsigned right) const;

    event_queue& events_;
    random_generator random_;
    bool with_cache_;
    delivery deliver_;
    std::vector<table_instance> instances_;
    std::shared_ptr<const state::configuration> configuration_;
    unsigned partition_after_{0};
    std::uint64_t control_bytes_{0};
};

} // namespace boragestand::model
