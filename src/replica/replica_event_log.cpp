#include "replica/replica_event_log.hpp"

namespace boragestand::replica
{

using settings::log_level;

void replica_event_log::founded(const protocol::replica_group& group)
{
    log_.write(log_level::info,
               [&] {
                   return log_line("group_founded")
                       .with("members", group.members.size());
               });
}

void replica_event_log::role_changed(const agreement::role_changed& change)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("role")
                       .with("role", agreement::to_text(change.role))
                       .with("term", change.term)
                       .with("leader", replica_text(change.leader))
                       .with("reason", change.reason);
               });
}

void replica_event_log::group_changed(const protocol::log_entry& entry)
{
    const auto group = protocol::decode_replica_group(entry.data);
    if (!group)
    {
        request_failed("group entry", group.error());
        return;
    }
    std::string members;
    for (const auto& member : group->members)
    {
        members += (members.empty() ? "" : ",") + replica_text(member.id) +
                   (member.voter ? "" : ":learner");
    }
    log_.write(log_level::info,
               [&]
               {
                   return log_line("group")
                       .with("index", entry.index)
                       .with("members", members)
                       .with("retired", group->retired.size());
               });
}

void replica_event_log::snapshot_stored(
    const protocol::agreement_snapshot& snapshot, bool installed)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("snapshot")
                       .with("index", snapshot.last.index)
                       .with("bytes", snapshot.data.size())
                       .with("source", installed ? "leader" : "own");
               });
}

void replica_event_log::disk_replaced(replica_id self, replica_id replaced)
{
    log_.write(log_level::warn,
               [&]
               {
                   return log_line("disk_replaced")
                       .with("replica", replica_text(self))
                       .with("replaced", replica_text(replaced));
               });
}

void replica_event_log::request_failed(std::string_view path,
                                       const error& cause)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("request_failed")
                       .with("path", path)
                       .with("error", error_info_for(cause.kind).name)
                       .with("message", cause.message);
               });
}

void replica_event_log::bad_input(std::string_view input, const error& cause,
                                  const transport::endpoint& source,
                                  time_point now)
{
    log_.write_limited(log_level::warn, input, now,
                       [&]
                       {
                           return log_line("bad_input")
                               .with("input", input)
                               .with("source", transport::to_string(source))
                               .with("message", cause.message);
                       });
}

void replica_event_log::storage_full(const error& cause, time_point now)
{
    log_.write_limited(
        log_level::warn, "storage_full", now,
        [&]
        { return log_line("storage_full").with("message", cause.message); });
}

void replica_event_log::failed(const error& cause)
{
    log_.write(log_level::error,
               [&]
               {
                   return log_line("failed")
                       .with("error", error_info_for(cause.kind).name)
                       .with("message", cause.message);
               });
}

} // namespace boragestand::replica
