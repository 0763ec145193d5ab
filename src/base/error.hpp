#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace boragestand
{

/// Every way in which an operation can fail. The answer that a caller or
/// operator gets for each kind is in the table of error.cpp.
enum class error_kind
{
    invalid_argument,
    invalid_settings,
    invalid_release_note,
    malformed_message,
    unknown_service,
    not_found,
    conflict,
    not_leader,
    no_quorum,
    unavailable,
    timeout,
    stale_revision,
    resource_exhausted,
    refused_by_agreement,
    storage_failure,
    storage_corrupt,
    identity_retired,
    change_in_progress,
    cancelled,
    internal
};

/// What a caller or operator gets for one error kind.
struct error_answer
{
    error_kind kind;
    std::string_view name; ///< as in logs and JSON output
    int http_status;       ///< 400 to 599
    int exit_status;       ///< of a program, 1 to 125
    bool retryable;        ///< whether the same request may succeed later
    std::string_view text; ///< one sentence for people
};

/// An error kind with a message that names the value at fault.
struct error
{
    error_kind kind{error_kind::internal};
    std::string message;

    auto operator<=>(const error&) const = default;
};

/// A value or the error that prevented it.
template <typename Value>
using result = tl::expected<Value, error>;

/// Shorthand for an unexpected result.
tl::unexpected<error> failure(error_kind kind, std::string message);

/// The row of the table for a kind.
const error_answer& answer_for(error_kind kind);

/// The kind whose row has this name, or error_kind::internal if none has.
error_kind error_kind_named(std::string_view name);

} // namespace boragestand
