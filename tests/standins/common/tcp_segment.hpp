#pragma once

#include <cstdint>
#include <string>

namespace boragestand::standins
{

/// The parts of a TCP segment that the stand-ins use.
struct tcp_segment
{
    bool syn{false};
    bool ack{false};
    bool fin{false};
    bool rst{false};
    std::uint32_t sequence{0};
    std::uint32_t acknowledgement{0};
    std::string payload;
};

} // namespace boragestand::standins
