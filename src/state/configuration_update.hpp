#pragma once

#include "state/configuration.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace boragestand::state
{

/// Largest encoded update in bytes, enough for the snapshot of a fleet.
constexpr std::size_t max_update_size = 64 * 1024 * 1024;

/// All rules of one service in their order; an empty list removes them.
struct service_rules
{
    service_id service;
    std::vector<rule> rules;

    auto operator<=>(const service_rules&) const = default;
};

/// Key of an override.
struct override_key
{
    service_id service;
    std::string upstream;

    auto operator<=>(const override_key&) const = default;
};

/// The difference between two revisions.
struct configuration_delta
{
    std::uint64_t from_revision{0};
    std::uint64_t to_revision{0};
    std::uint64_t note_number{0};
    std::uint32_t last_service{0};
    std::vector<service> services;            ///< added or changed
    std::vector<service_id> removed_services; ///< without their rules
    std::vector<service_rules> rules;         ///< where they differ
    std::vector<upstream_override> overrides; ///< added or changed
    std::vector<override_key> removed_overrides;
    std::vector<refusal_agreement> agreements; ///< added or changed
    std::vector<std::uint64_t> removed_agreements;

    auto operator<=>(const configuration_delta&) const = default;
};

/// Message of the configuration stream: a snapshot or a delta.
using configuration_update = std::variant<configuration, configuration_delta>;

/// The difference that leads from one configuration to a later one.
configuration_delta delta_between(const configuration& from,
                                  const configuration& to);

/// The configuration after an update. The current one is returned when the
/// update is not newer, so a revision never decreases; fails with
/// error_kind::stale_revision if a delta starts at another revision than the
/// current one, in which case the receiver asks for the stream again.
result<std::shared_ptr<const configuration>>
apply_update(const configuration_update& update,
             const std::shared_ptr<const configuration>& current);

/// Encodes an update with msgpack.
std::vector<std::byte>
encode_configuration_update(const configuration_update& update);

/// Decodes an update; error_kind::malformed_message for anything that
/// encode_configuration_update does not write. Never throws.
result<configuration_update>
decode_configuration_update(std::span<const std::byte> bytes);

} // namespace boragestand::state
