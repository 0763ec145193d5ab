#pragma once

#include "agreement/agreement.hpp"

#include <string>
#include <string_view>

namespace boragestand::replica
{

/// Status that a control instance reports to one that does not know its group,
/// as the answer to GET /v1/identity.
struct founding_status
{
    replica_id replica;         ///< identity of the disk
    bool formed{false};         ///< whether it is part of a group
    bool founding_group{false}; ///< whether members is the first group
    transport::endpoint leader; ///< address 0 if not known
    protocol::replica_group group;

    auto operator<=>(const founding_status&) const = default;
};

/// JSON of a status.
std::string to_json(const founding_status& status);

/// Reads what to_json() writes; error_kind::malformed_message otherwise.
result<founding_status> founding_status_from_json(std::string_view text);

} // namespace boragestand::replica
