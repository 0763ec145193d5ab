#pragma once

#include "program.hpp"
#include "protocol/protocol.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragestand::standins
{

/// Endpoints of the fabric and the faults that it injects in both directions.
struct fabric_settings
{
    std::string entries_file;
    transport::endpoint callers; ///< receives from callers
    transport::endpoint returns; ///< receives packets for callers
    double loss{0};              ///< share of packets, 0 to 1
    double duplication{0};       ///< share of packets, 0 to 1
    duration delay{0};
    duration jitter{0}; ///< additional random delay, reorders packets
    std::uint64_t seed{1};
};

/// Packet counters of a fabric.
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

/// Forwards each packet of a caller to a random entry instance, and packets for
/// a caller to the process that last sent from its address.
class fabric
{
public:
    fabric(program& host, const fabric_settings& settings);

    /// Reloads the file of entry endpoints, which has one endpoint per line.
    /// Keeps the current list if the file is empty or invalid.
    void reload_entries();

    const fabric_counters& counters() const { return counters_; }

private:
    struct delayed_datagram
    {
        transport::endpoint destination;
        std::vector<std::byte> bytes;
    };

    void receive_from_callers();
    void receive_from_entries();
    void forward(transport::udp_socket& socket,
                 const transport::endpoint& destination,
                 std::span<const std::byte> bytes);
    void send_due_datagrams(time_point now);

    program& host_;
    fabric_settings settings_;
    random_generator random_;
    transport::udp_socket caller_socket_;
    transport::udp_socket return_socket_;
    std::vector<transport::endpoint> entries_;
    std::map<std::uint32_t, transport::endpoint> caller_endpoints_;
    std::multimap<time_point, delayed_datagram> delayed_datagrams_;
    fabric_counters counters_;
    std::vector<transport::subscription> subscriptions_;
};

} // namespace boragestand::standins
