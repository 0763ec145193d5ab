#include "fleet/fleet_log.hpp"

#include <array>
#include <charconv>

namespace boragestand::fleet
{

namespace
{

using settings::log_level;

std::int64_t milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

std::string identity_text(std::uint64_t id)
{
    std::array<char, 17> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), id, 16);
    return {digits.data(), end.ptr};
}

std::string fleet_log::replica_text(replica_id id) const
{
    return transport::format_address(
               static_cast<std::uint32_t>(id.value >> 32)) +
           "/" + identity_text(id.value & 0xffffffffU);
}

void fleet_log::started(replica_id self, const state::log_recovery& recovery)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("replica_started")
                          .with("replica", replica_text(self))
                          .with("entries", recovery.entries.size())
                          .with("torn_bytes", recovery.torn_bytes);
                  });
}

void fleet_log::plan_applied(std::uint64_t index, std::uint64_t version,
                             std::uint64_t former, state::plan_outcome outcome)
{
    lines().write(log_level::info,
                  [&]
                  {
                      const bool applied =
                          outcome == state::plan_outcome::in_force;
                      return log_line("plan_applied")
                          .with("index", index)
                          .with("version", version)
                          .with("former", former)
                          .with("outcome", applied ? "in_force" : "superseded");
                  });
}

void fleet_log::plan_loaded(std::uint64_t version, std::size_t routes)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("plan_loaded")
                          .with("version", version)
                          .with("routes", routes)
                          .with("confirmed", false);
                  });
}

void fleet_log::evacuation_applied(const state::evacuation_order& order,
                                   std::uint64_t index, bool changed)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("evacuation_applied")
                          .with("data_centre", order.data_centre)
                          .with("active", order.active)
                          .with("index", index)
                          .with("outcome", changed ? "in_force" : "unchanged");
                  });
}

void fleet_log::evacuation_answered(const state::evacuation_order& order,
                                    std::string_view outcome, duration taken)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("evacuation_answered")
                          .with("data_centre", order.data_centre)
                          .with("active", order.active)
                          .with("outcome", outcome)
                          .with("taken_ms", milliseconds(taken));
                  });
}

void fleet_log::evacuation_in_force(
    const coordination::evacuation_notice& notice,
    const transport::endpoint& source)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("evacuation_in_force")
                          .with("data_centre", notice.data_centre)
                          .with("active", notice.active)
                          .with("index", notice.index)
                          .with("ended_ms", notice.ended_ms)
                          .with("source", transport::to_string(source));
                  });
}

void fleet_log::plan_answered(std::uint64_t version, std::uint64_t in_force,
                              std::string_view outcome, duration taken)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("plan_answered")
                          .with("version", version)
                          .with("in_force", in_force)
                          .with("outcome", outcome)
                          .with("taken_ms", milliseconds(taken));
                  });
}

void fleet_log::unknown_kinds(std::uint64_t version, std::size_t routes)
{
    lines().write(log_level::warn,
                  [&]
                  {
                      return log_line("unknown_kinds")
                          .with("version", version)
                          .with("routes", routes);
                  });
}

void fleet_log::plan_read(std::uint64_t version, std::string_view outcome,
                          duration taken)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("plan_read")
                          .with("version", version)
                          .with("outcome", outcome)
                          .with("taken_ms", milliseconds(taken));
                  });
}

void fleet_log::upstream_changed(
    const coordination::registered_upstream& record, std::string_view source)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("upstream")
                          .with("upstream", identity_text(record.id))
                          .with("service", record.service)
                          .with("address", transport::to_string(record.address))
                          .with("data_centre", record.data_centre)
                          .with("incarnation", record.incarnation)
                          .with("sequence", record.sequence)
                          .with("condition",
                                coordination::to_text(record.condition))
                          .with("warmup_left_ms", record.warmup_left_ms)
                          .with("source", source);
                  });
}

void fleet_log::leave_answered(std::uint64_t upstream, std::uint64_t sequence,
                               bool confirmed, duration taken)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("leave_answered")
                          .with("upstream", identity_text(upstream))
                          .with("sequence", sequence)
                          .with("outcome",
                                confirmed ? "acknowledged" : "no_majority")
                          .with("taken_ms", milliseconds(taken));
                  });
}

void fleet_log::contact_changed(std::string_view role,
                                const transport::endpoint& peer,
                                bool in_contact, std::string_view reason)
{
    lines().write(in_contact ? log_level::info : log_level::warn,
                  [&]
                  {
                      return log_line(in_contact ? "contact" : "contact_lost")
                          .with("role", role)
                          .with("peer", transport::to_string(peer))
                          .with("reason", reason);
                  });
}

void fleet_log::source_changed(const transport::endpoint& source,
                               std::string_view reason, time_point now)
{
    lines().write_limited(log_level::info, transport::to_string(source), now,
                          [&]
                          {
                              return log_line("directory_source")
                                  .with("source", transport::to_string(source))
                                  .with("reason", reason);
                          });
}

void fleet_log::plan_in_force(std::uint64_t version, std::uint64_t former,
                              std::size_t routes,
                              const transport::endpoint& source)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("plan_in_force")
                          .with("version", version)
                          .with("former", former)
                          .with("routes", routes)
                          .with("source", transport::to_string(source));
                  });
}

void fleet_log::plan_received(const plan_transfer& transfer,
                              const transport::endpoint& source)
{
    lines().write(log_level::info,
                  [&]
                  {
                      return log_line("plan_received")
                          .with("version", transfer.version)
                          .with("bytes", transfer.bytes)
                          .with("pages", transfer.pages)
                          .with("taken_ms", milliseconds(transfer.taken))
                          .with("processing_ms",
                                milliseconds(transfer.processing))
                          .with("source", transport::to_string(source));
                  });
}

void fleet_log::plan_interrupted(std::uint64_t version, std::size_t bytes,
                                 std::size_t pages, std::string_view reason,
                                 const transport::endpoint& source,
                                 time_point now)
{
    lines().write_limited(log_level::warn,
                          "plan " + transport::to_string(source), now,
                          [&]
                          {
                              return log_line("plan_interrupted")
                                  .with("version", version)
                                  .with("bytes", bytes)
                                  .with("pages", pages)
                                  .with("source", transport::to_string(source))
                                  .with("reason", reason);
                          });
}

void fleet_log::member_removed(replica_id member, duration silence)
{
    lines().write(log_level::warn,
                  [&]
                  {
                      return log_line("member_removed")
                          .with("replica", replica_text(member))
                          .with("silent_ms", milliseconds(silence));
                  });
}

void fleet_log::identity_retired(replica_id self)
{
    lines().write(log_level::warn,
                  [&] {
                      return log_line("identity_retired")
                          .with("replica", replica_text(self));
                  });
}

void fleet_log::lifecycle(std::string_view event, std::string_view detail)
{
    lines().write(log_level::info,
                  [&] { return log_line(event).with("detail", detail); });
}

} // namespace boragestand::fleet
