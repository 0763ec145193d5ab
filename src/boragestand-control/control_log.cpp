#include "control_log.hpp"

namespace boragestand::control
{

namespace
{

using settings::log_level;

// "101.1a2b3c4d": instance number and number of its disk.
std::string text_of(replica_id id)
{
    return std::to_string(id.value >> 32) + "." +
           std::to_string(id.value & 0xffffffffU);
}

std::string_view kind_of(const state::command& command)
{
    struct namer
    {
        std::string_view operator()(const state::submit_note&) const
        {
            return "note";
        }
        std::string_view operator()(const state::record_agreement&) const
        {
            return "record_agreement";
        }
        std::string_view operator()(const state::withdraw_agreement&) const
        {
            return "withdraw_agreement";
        }
        std::string_view operator()(const state::set_drain&) const
        {
            return "set_drain";
        }
    };
    return std::visit(namer{}, command.action);
}

} // namespace

void control_log::started(replica_id self, const state::log_recovery& recovery)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("started")
                       .with("replica", text_of(self))
                       .with("entries", recovery.entries.size());
               });
    if (recovery.torn_file.empty())
    {
        return;
    }
    log_.write(log_level::warn,
               [&]
               {
                   return log_line("torn_tail_cut")
                       .with("file", recovery.torn_file)
                       .with("offset", recovery.torn_offset)
                       .with("bytes", recovery.torn_bytes);
               });
}

void control_log::founded(const protocol::replica_group& group)
{
    log_.write(log_level::info,
               [&] {
                   return log_line("group_founded")
                       .with("members", group.members.size());
               });
}

void control_log::disk_replaced(replica_id self, replica_id replaced)
{
    log_.write(log_level::warn,
               [&]
               {
                   return log_line("disk_replaced")
                       .with("replica", text_of(self))
                       .with("replaced", text_of(replaced));
               });
}

void control_log::role_changed(const coordination::role_changed& change)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("role")
                       .with("role", coordination::to_text(change.role))
                       .with("term", change.term)
                       .with("leader", text_of(change.leader))
                       .with("reason", change.reason);
               });
}

void control_log::group_changed(const protocol::log_entry& entry)
{
    const auto group = protocol::decode_replica_group(entry.data);
    if (!group)
    {
        return;
    }
    std::string members;
    for (const auto& member : group->members)
    {
        members += (members.empty() ? "" : ",") + text_of(member.id) +
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

void control_log::command_applied(std::uint64_t index, std::uint64_t revision,
                                  const state::command& command,
                                  const state::command_outcome& outcome)
{
    const auto failed = state::failure_of(outcome);
    log_.write(log_level::info,
               [&]
               {
                   return log_line("command")
                       .with("kind", kind_of(command))
                       .with("client", command.request.client)
                       .with("sequence", command.request.sequence)
                       .with("index", index)
                       .with("revision", revision)
                       .with("outcome",
                             failed ? answer_for(*failed).name : "done");
               });
}

void control_log::snapshot_stored(const protocol::agreement_snapshot& snapshot,
                                  bool installed)
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

void control_log::request_failed(std::string_view path, const error& cause)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("request_failed")
                       .with("path", path)
                       .with("error", answer_for(cause.kind).name)
                       .with("message", cause.message);
               });
}

void control_log::bad_input(std::string_view input, const error& cause,
                            const transport::endpoint& source, time_point now)
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

void control_log::director_woken(std::string_view service,
                                 std::uint64_t episode,
                                 std::string_view outcome)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("director")
                       .with("service", service)
                       .with("episode", episode)
                       .with("outcome", outcome);
               });
}

void control_log::revision_reported(std::uint32_t instance,
                                    std::uint64_t revision)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("revision_reported")
                       .with("entry", instance)
                       .with("revision", revision);
               });
}

void control_log::stopping(std::string_view reason)
{
    log_.write(log_level::info,
               [&] { return log_line("stopping").with("reason", reason); });
}

void control_log::failed(const error& cause)
{
    log_.write(log_level::error,
               [&]
               {
                   return log_line("failed")
                       .with("error", answer_for(cause.kind).name)
                       .with("message", cause.message);
               });
}

} // namespace boragestand::control
