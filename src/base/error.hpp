#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace boragestand
{

/// Kinds of errors. The table in error.cpp gives the name, HTTP status, exit
/// status and description of each kind.
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
    storage_full,
    cancelled,
    internal
};

/// How an error kind is reported to callers and operators.
struct error_info
{
    error_kind kind;
    std::string_view name; ///< in logs and JSON output
    int http_status;       ///< 400 to 599
    int exit_status;       ///< of programs, 1 to 125
    bool retryable;        ///< whether the same request may succeed later
    std::string_view text; ///< description in one sentence
};

/// An error kind and a message that names the value that caused it.
struct error
{
    error_kind kind{error_kind::internal};
    std::string message;

    auto operator<=>(const error&) const = default;
};

/// A value, or an error if the operation failed.
template <typename Value>
using result = tl::expected<Value, error>;

/// Creates a failed result.
tl::unexpected<error> failure(error_kind kind, std::string message);

/// Returns the table row of an error kind.
const error_info& error_info_for(error_kind kind);

/// Returns the error kind with this name, or error_kind::internal if there is
/// none.
error_kind parse_error_kind(std::string_view name);

} // namespace boragestand
