#include "control_log.hpp"

namespace boragestand::control
{

namespace
{

using settings::log_level;

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

std::string control_log::replica_text(replica_id id) const
{
    return std::to_string(id.value >> 32) + "." +
           std::to_string(id.value & 0xffffffffU);
}

void control_log::started(replica_id self, const state::log_recovery& recovery)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("started")
                          .with("replica", replica_text(self))
                          .with("entries", recovery.entries.size());
                  });
    if (recovery.torn_file.empty())
    {
        return;
    }
    lines().write(log_level::warn,
                  [&]
                  {
                      return log_line("torn_tail_cut")
                          .with("file", recovery.torn_file)
                          .with("offset", recovery.torn_offset)
                          .with("bytes", recovery.torn_bytes);
                  });
}

void control_log::log_command(std::uint64_t index, std::uint64_t revision,
                              const state::command& command,
                              const state::command_outcome& outcome)
{
    const auto failed = state::error_kind_of(outcome);
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("command")
                          .with("kind", kind_of(command))
                          .with("client", command.request.client)
                          .with("sequence", command.request.sequence)
                          .with("index", index)
                          .with("revision", revision)
                          .with("outcome",
                                failed ? error_info_for(*failed).name : "done");
                  });
}

void control_log::log_director_request(std::string_view service,
                                       std::uint64_t episode,
                                       std::string_view outcome)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("director")
                          .with("service", service)
                          .with("episode", episode)
                          .with("outcome", outcome);
                  });
}

void control_log::log_revision_report(std::uint32_t instance,
                                      std::uint64_t revision)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("revision_reported")
                          .with("entry", instance)
                          .with("revision", revision);
                  });
}

void control_log::log_stop(std::string_view reason)
{
    lines().write(log_level::info,
                  [&] { return log_line("stopping").with("reason", reason); });
}

} // namespace boragestand::control
