#pragma once

#include "state/routing_plan.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragestand::state
{

/// What a plan holds besides its version and routes.
struct plan_settings
{
    std::vector<planned_service> services;
    std::uint32_t idle_timeout_ms{0};

    auto operator<=>(const plan_settings&) const = default;
};

plan_settings settings_of(const routing_plan& plan);

/// Encode a part of a plan with msgpack. Digests are taken of these bytes, so
/// that an instance of another version can compare them although it knows other
/// fields.
std::string encode_route(const service_route& route);
std::string encode_settings(const plan_settings& settings);

/// Decode what was encoded; error_kind::malformed_message otherwise.
result<service_route> decode_route(std::string_view bytes);
result<plan_settings> decode_settings(std::string_view bytes);

/// Position of a route in the order in which plans are transferred. Each
/// address has a position of its own, and positions are spread evenly.
std::uint64_t route_position(const transport::endpoint& address);

/// Number of parts, a power of two, into which a plan of this size is divided
/// to be compared: about 128 to 256 routes each.
std::size_t plan_part_count(std::size_t routes);

/// Index of the part that a position belongs to. Parts are ranges of positions
/// in ascending order; count is a power of two.
std::size_t part_of(std::uint64_t position, std::size_t count);

/// Lowest position of a part. That of index count is 0, as positions wrap.
std::uint64_t first_position(std::size_t part, std::size_t count);

/// Digest of some routes: the sum of the hashes of their encodings, so that a
/// change of one route costs one hash, whatever the size of the plan.
std::uint64_t route_digest(std::string_view encoded);

/// Digest of a plan with these settings and this sum of route digests.
std::uint64_t plan_digest(std::uint64_t routes, std::uint64_t settings);

} // namespace boragestand::state
