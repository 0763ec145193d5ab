#include "base/error.hpp"

#include <algorithm>
#include <array>

namespace boragestand
{

namespace
{

constexpr std::array<error_info, 21> error_table{{
    {error_kind::invalid_argument, "invalid_argument", 400, 2, false,
     "The request or command line is not valid."},
    {error_kind::invalid_settings, "invalid_settings", 400, 3, false,
     "The settings file is not valid."},
    {error_kind::invalid_release_note, "invalid_release_note", 422, 4, false,
     "The release note is not valid."},
    {error_kind::malformed_message, "malformed_message", 400, 5, false,
     "A message could not be decoded."},
    {error_kind::unknown_service, "unknown_service", 404, 6, false,
     "No service has this name or address."},
    {error_kind::not_found, "not_found", 404, 7, false,
     "The named object does not exist."},
    {error_kind::conflict, "conflict", 409, 8, false,
     "Another release note with this number was accepted first."},
    {error_kind::not_leader, "not_leader", 421, 9, true,
     "This control instance is not the leader."},
    {error_kind::no_quorum, "no_quorum", 503, 10, true,
     "No majority of control instances can be reached."},
    {error_kind::unavailable, "unavailable", 503, 11, true,
     "The other side could not be reached."},
    {error_kind::timeout, "timeout", 504, 12, true,
     "The operation did not finish in time; its outcome is unknown."},
    {error_kind::stale_revision, "stale_revision", 409, 13, true,
     "A newer revision is already in force."},
    {error_kind::resource_exhausted, "resource_exhausted", 429, 14, true,
     "A limit was reached."},
    {error_kind::refused_by_agreement, "refused_by_agreement", 403, 15, true,
     "Refused under a director's agreement; the request was not run."},
    {error_kind::storage_failure, "storage_failure", 500, 16, false,
     "A file operation failed."},
    {error_kind::storage_corrupt, "storage_corrupt", 500, 17, false,
     "Stored data is damaged."},
    {error_kind::identity_retired, "identity_retired", 410, 18, false,
     "This identity has left the group and cannot return."},
    {error_kind::change_in_progress, "change_in_progress", 409, 19, true,
     "Another membership change is not finished yet."},
    {error_kind::storage_full, "storage_full", 507, 22, true,
     "The disk is full; changes are refused until there is room."},
    {error_kind::cancelled, "cancelled", 499, 20, true,
     "The operation was cancelled before it ran."},
    {error_kind::internal, "internal", 500, 21, false,
     "An invariant does not hold; please report it."},
}};

} // namespace

tl::unexpected<error> failure(error_kind kind, std::string message)
{
    return tl::unexpected<error>(error{kind, std::move(message)});
}

const error_info& error_info_for(error_kind kind)
{
    const auto row = std::find_if(error_table.begin(), error_table.end(),
                                  [kind](const error_info& info)
                                  { return info.kind == kind; });
    return row == error_table.end() ? error_table.back() : *row;
}

error_kind parse_error_kind(std::string_view name)
{
    const auto row = std::find_if(error_table.begin(), error_table.end(),
                                  [name](const error_info& info)
                                  { return info.name == name; });
    return row == error_table.end() ? error_kind::internal : row->kind;
}

} // namespace boragestand
