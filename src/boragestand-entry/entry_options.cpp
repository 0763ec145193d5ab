#include "entry_options.hpp"

namespace boragestand::entry
{

namespace
{

data_centre_id to_data_centre_id(std::string_view name)
{
    return data_centre_id{static_cast<std::uint32_t>(hash_text(name))};
}

duration milliseconds(std::uint32_t count)
{
    return std::chrono::milliseconds(count);
}

coordination::router_settings
make_router_settings(const settings::entry_settings& settings,
                     std::uint64_t incarnation)
{
    const auto& limits = settings.limits;
    coordination::router_settings router;
    router.self = instance_id{settings.instance.id};
    router.incarnation = incarnation;
    router.probe_interval = milliseconds(limits.probe_interval_ms);
    router.probe_timeout = milliseconds(limits.probe_timeout_ms);
    router.suspicion_timeout = milliseconds(limits.suspicion_timeout_ms);
    router.pin_age = milliseconds(limits.pin_age_ms);
    router.pin_bytes_per_second = limits.pin_bytes_per_second;
    router.handover_bytes_per_second = limits.handover_bytes_per_second;
    router.flow_capacity = limits.flow_capacity;
    router.traffic.ejection_percent = limits.ejection_percent;
    router.traffic.imbalance_percent = limits.imbalance_percent;
    router.traffic.aging_limit = milliseconds(limits.aging_limit_ms);
    // Each instance needs its own random sequence; with a shared one, all would
    // probe the same peers at the same time.
    router.seed = mix_hashes(limits.seed, settings.instance.id);
    router.traffic.seed = router.seed;
    return router;
}

/// Parses endpoints and keeps the first error.
class endpoint_reader
{
public:
    transport::endpoint read(const std::string& text)
    {
        const auto parsed = transport::parse_endpoint(text);
        if (!parsed)
        {
            first_error_ = first_error_.value_or(
                error{error_kind::invalid_settings, parsed.error().message});
            return {};
        }
        return *parsed;
    }

    const std::optional<error>& first_error() const { return first_error_; }

private:
    std::optional<error> first_error_;
};

void add_member(const settings::entry_member& member, endpoint_reader& reader,
                entry_options& options)
{
    const instance_id id{member.instance.id};
    options.names[id] = member.instance.name;
    options.router.members.push_back(
        {id, member.instance.name,
         to_data_centre_id(member.instance.data_centre)});
    if (id == options.router.self)
    {
        return;
    }
    options.member_fabric[id] = reader.read(member.addresses.fabric);
    options.member_peers[id] = reader.read(member.addresses.peers);
    options.member_http[id] = reader.read(member.addresses.http);
}

} // namespace

result<entry_options> make_options(const settings::entry_settings& settings,
                                   std::uint64_t incarnation)
{
    endpoint_reader reader;
    entry_options options;
    options.router = make_router_settings(settings, incarnation);
    options.data_centre = to_data_centre_id(settings.instance.data_centre);
    options.fabric = reader.read(settings.addresses.fabric);
    options.peers = reader.read(settings.addresses.peers);
    options.http = reader.read(settings.addresses.http);
    options.callers_via = reader.read(settings.callers_via);
    for (const auto& member : settings.members)
    {
        add_member(member, reader, options);
    }
    for (const auto& control : settings.control)
    {
        options.control.push_back(reader.read(control.http));
    }
    if (reader.first_error())
    {
        return tl::unexpected(*reader.first_error());
    }
    return options;
}

} // namespace boragestand::entry
