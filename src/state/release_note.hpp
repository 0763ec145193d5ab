#pragma once

#include "document/document.hpp"
#include "state/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::state
{

/// Largest text of a release note in bytes.
constexpr std::size_t max_note_size = 256 * 1024;

/// Largest number of a release note; JSON readers keep integers exact up to
/// here.
constexpr std::uint64_t max_note_number = 9007199254740991;

/// A service that a note adds. Its identity is assigned when the note is
/// applied.
struct service_addition
{
    document::located<std::string> name;
    document::located<transport::endpoint> address;
    service defaults; ///< all fields but identity, name and address

    bool operator==(const service_addition&) const = default;
};

/// New values for a service. Address and protocol cannot change, since they
/// are part of the key of each open flow.
struct service_change
{
    document::located<std::string> name;
    std::optional<bool> idempotent;
    std::optional<protocol::request_class> work;
    std::optional<std::uint32_t> short_limit_ms;
    std::optional<std::uint32_t> hold_limit_ms;
    std::optional<std::uint32_t> hold_capacity;
    std::optional<std::uint32_t> idle_limit_ms;

    bool operator==(const service_change&) const = default;
};

/// An IPv4 prefix of callers.
struct source_prefix
{
    std::uint32_t address{0}; ///< host byte order
    std::uint8_t length{0};

    auto operator<=>(const source_prefix&) const = default;
};

/// A rule that a note adds after the other rules of its service.
struct rule_addition
{
    document::located<std::string> name;
    document::located<std::string> service;
    source_prefix source;
    protocol::request_class work{protocol::request_class::unspecified};
    rule_action action{rule_action::accept};
    std::uint8_t share_percent{100};

    bool operator==(const rule_addition&) const = default;
};

/// New values for a rule, which keeps its place in the order. Agreements to
/// refusals by this rule end, since the director agreed to the old rule.
struct rule_change
{
    document::located<std::string> name;
    std::optional<source_prefix> source;
    std::optional<protocol::request_class> work;
    std::optional<rule_action> action;
    std::optional<std::uint8_t> share_percent;

    bool operator==(const rule_change&) const = default;
};

/// Weight or drain of an upstream. Its name is not checked, because upstreams
/// announce themselves and may come later.
struct upstream_change
{
    document::located<std::string> service;
    document::located<std::string> name;
    std::optional<std::uint16_t> weight;
    std::optional<bool> drain;

    bool operator==(const upstream_change&) const = default;
};

/// A change of the configuration that an operator submits. The parts take
/// effect in the order withdrawn, changed, added, so one note can replace a
/// rule.
struct release_note
{
    std::uint64_t number{0};
    std::vector<service_addition> added_services;
    std::vector<rule_addition> added_rules;
    std::vector<service_change> changed_services;
    std::vector<rule_change> changed_rules;
    std::vector<upstream_change> changed_upstreams;
    std::vector<document::located<std::string>> withdrawn_services;
    std::vector<document::located<std::string>> withdrawn_rules;
    std::vector<upstream_change> withdrawn_upstreams;

    bool operator==(const release_note&) const = default;
};

/// Reads a note from YAML. Items whose name could be read are in the result
/// even when other parts of them are faulty, so that later checks can go on.
/// Never throws.
release_note parse_release_note(std::string_view text,
                                document::fault_list& faults);

/// The note as YAML with all keys in a fixed order and defaults spelled out.
/// Equivalent notes have the same canonical text.
std::string to_canonical_text(const release_note& note);

/// 128-bit hash of the canonical text as 32 hexadecimal digits.
std::string compute_digest(const release_note& note);

/// Name of a class of work as in notes: any, short, long.
std::string_view name_of(protocol::request_class work);

/// Name of a protocol as in notes: tcp, udp.
std::string_view name_of(protocol::ip_protocol protocol);

/// Name of an action as in notes: accept, share, refuse.
std::string_view name_of(rule_action action);

} // namespace boragestand::state
