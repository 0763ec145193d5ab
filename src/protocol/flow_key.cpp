#include "protocol/flow_key.hpp"

namespace boragestand::protocol
{

namespace
{

std::uint64_t pack_endpoint(const transport::endpoint& value)
{
    return std::uint64_t{value.address} << 16 | value.port;
}

} // namespace

std::uint64_t hash_of(const flow_key& key)
{
    const std::uint64_t service_and_protocol =
        std::uint64_t{key.service.value} << 8 |
        static_cast<std::uint8_t>(key.protocol);
    // Each group of fields is mixed in a step of its own: fields that were
    // combined into the same bits before mixing could cancel each other.
    const std::uint64_t service = mix_hashes(0, service_and_protocol);
    const std::uint64_t caller = mix_hashes(service, pack_endpoint(key.caller));
    return mix_hashes(caller, pack_endpoint(key.destination));
}

} // namespace boragestand::protocol
