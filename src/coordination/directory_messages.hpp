#pragma once

#include "coordination/upstream_registry.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace boragestand::coordination
{

/// A data centre that is evacuated, or whose evacuation has ended.
struct evacuation_notice
{
    std::string data_centre;
    bool active{true};         ///< false: ended
    std::uint64_t index{0};    ///< log index of the newest order
    std::uint32_t ended_ms{0}; ///< time since the end, if not active

    auto operator<=>(const evacuation_notice&) const = default;
};

/// Permission of one entry instance to send new requests to a cold upstream.
/// Valid from its receipt for lifetime_ms and replaced by a later one for the
/// same upstream.
struct warmup_grant
{
    std::uint64_t upstream{0};
    std::uint64_t incarnation{0};
    std::uint32_t requests_per_1000_s{0}; ///< rate
    std::uint32_t burst{0};               ///< requests at once
    std::uint32_t lifetime_ms{0};

    auto operator<=>(const warmup_grant&) const = default;
};

/// Requests the changes since the last reply of a control instance. The cursor
/// also acknowledges that reply.
struct directory_request
{
    bool from_replica{false};      ///< from another control instance
    transport::endpoint sender;    ///< where the sender serves other instances
    std::uint64_t epoch{0};        ///< of the last reply; 0: none
    std::uint64_t cursor{0};       ///< of the last reply
    std::uint64_t plan_version{0}; ///< version that the sender holds
    /// The last reply was not current; a current one should be sent at once.
    bool wants_current{false};
    /// Load and health of upstreams as seen by the sender, encoded by
    /// load_evidence; empty if it has none.
    std::string load;
    /// Greatest log index of the evacuations that the sender holds.
    std::uint64_t evacuation_index{0};

    auto operator<=>(const directory_request&) const = default;
};

/// Changes since a request's cursor, or all records if the epoch differs from
/// the request's. Many records are sent in pages, so that a reply never takes
/// longer on a small link than its receiver waits for it.
struct directory_reply
{
    std::uint64_t epoch{0}; ///< of this run of the control instance
    std::uint64_t cursor{0};
    /// Whether the instance is in contact with a majority of its group, so that
    /// nothing that was acknowledged is missing for long.
    bool current{false};
    std::uint64_t plan_version{0};
    std::vector<registered_upstream> upstreams;
    std::vector<upstream_refresh> refreshes;   ///< only for replicas
    std::optional<state::routing_plan> plan;   ///< if newer than the sender's
    std::vector<transport::endpoint> controls; ///< members of the group
    /// Further records follow; the next request's cursor continues after these.
    bool has_more{false};
    std::vector<evacuation_notice> evacuations; ///< all of them, each time
    std::vector<warmup_grant> grants;           ///< only for entry instances
    /// Load and health of upstreams as joined by the sender, encoded by
    /// load_evidence; empty if it has none.
    std::string load;

    auto operator<=>(const directory_reply&) const = default;
};

/// Adds notices to those that are known. Of two about one data centre the one
/// with the greater log index stays. Returns the notices that were new.
std::vector<evacuation_notice>
merge_evacuations(std::vector<evacuation_notice>& known,
                  const std::vector<evacuation_notice>& received);

/// Greatest log index of some notices, 0 if there are none.
std::uint64_t newest_index(const std::vector<evacuation_notice>& notices);

/// Appends the state of each data centre in the Prometheus text format.
void append_evacuations(std::string& text,
                        const std::vector<evacuation_notice>& notices);

/// Encodes a message with msgpack.
std::string encode_message(const directory_request& message);
std::string encode_message(const directory_reply& message);

/// Decode what encode_message() wrote; error_kind::malformed_message
/// otherwise.
result<directory_request> decode_directory_request(std::string_view bytes);
result<directory_reply> decode_directory_reply(std::string_view bytes);

} // namespace boragestand::coordination
