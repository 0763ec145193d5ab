#pragma once

#include "program.hpp"
#include "protocol/protocol.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragestand::standins
{

/// Faults that the fabric adds in both directions.
struct fabric_settings
{
    std::string entries_file;
    transport::endpoint callers; ///< where callers send to
    transport::endpoint returns; ///< where packets towards callers arrive
    double loss{0};              ///< share of packets, 0 to 1
    double duplication{0};       ///< share of packets, 0 to 1
    duration delay{0};
    duration jitter{0}; ///< further random delay, which reorders packets
    std::uint64_t seed{1};
};

/// Counters of a fabric.
struct fabric_counters
{
    std::uint64_t to_entries{0};
    std::uint64_t to_callers{0};
    std::uint64_t lost{0};
    std::uint64_t duplicated{0};
    std::uint64_t unknown_caller{0};
    std::uint64_t malformed{0};
    std::uint64_t overflow{0};
};

/// Sprays the packets of callers over the entry instances and brings packets
/// towards callers to the process that sent from their address.
class fabric
{
public:
    fabric(program& host, const fabric_settings& settings);

    /// Reads the list of entry endpoints again, one a line.
    void reload_entries();

    const fabric_counters& counters() const { return counters_; }

private:
    struct delayed
    {
        transport::endpoint destination;
        std::vector<std::byte> bytes;
    };

    void receive_from_callers();
    void receive_returns();
    void pass_on(transport::udp_socket& socket,
                 const transport::endpoint& destination,
                 std::span<const std::byte> bytes);
    void send_due(time_point now);

    program& host_;
    fabric_settings settings_;
    random_generator random_;
    transport::udp_socket callers_;
    transport::udp_socket returns_;
    std::vector<transport::endpoint> entries_;
    std::map<std::uint32_t, transport::endpoint> known_callers_;
    std::multimap<time_point, delayed> waiting_;
    fabric_counters counters_;
    std::vector<transport::subscription> subscriptions_;
};

} // namespace boragestand::standins
