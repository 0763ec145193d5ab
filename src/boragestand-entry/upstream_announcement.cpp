#include "upstream_announcement.hpp"

#include <nlohmann/json.hpp>

namespace boragestand::entry
{

namespace
{

using json = nlohmann::json;

tl::unexpected<error> invalid_member(std::string_view member,
                                     std::string_view expected)
{
    return failure(error_kind::invalid_argument,
                   "member \"" + std::string(member) + "\" must be " +
                       std::string(expected));
}

/// Reads an optional integer member; value is unchanged if it is absent.
template <typename Integer>
result<void> read_number(const json& object, const char* member,
                         std::uint64_t low, std::uint64_t high, Integer& value)
{
    const auto found = object.find(member);
    if (found == object.end())
    {
        return {};
    }
    const std::string range = "an integer from " + std::to_string(low) +
                              " to " + std::to_string(high);
    if (!found->is_number_unsigned())
    {
        return invalid_member(member, range);
    }
    const auto number = found->get<std::uint64_t>();
    if (number < low || number > high)
    {
        return invalid_member(member, range);
    }
    value = static_cast<Integer>(number);
    return {};
}

result<std::string> read_text(const json& object, const char* member)
{
    const auto found = object.find(member);
    if (found == object.end())
    {
        return std::string();
    }
    if (!found->is_string())
    {
        return invalid_member(member, "a string");
    }
    return found->get<std::string>();
}

result<void> read_address(const json& object, transport::endpoint& address)
{
    const auto text = read_text(object, "address");
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    const auto parsed = transport::parse_address(*text);
    if (!parsed)
    {
        return invalid_member("address", "an IPv4 address");
    }
    address.address = *parsed;
    address.port = protocol::geneve_port;
    return read_number(object, "port", 1, 65535, address.port);
}

result<void> read_state(const json& object, protocol::upstream_state& state)
{
    const auto text = read_text(object, "state");
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    if (!text->empty() && *text != "ready" && *text != "draining")
    {
        return invalid_member("state", "\"ready\" or \"draining\"");
    }
    state = *text == "draining" ? protocol::upstream_state::draining
                                : protocol::upstream_state::ready;
    return {};
}

result<void> read_probe(const json& object, const char* member,
                        std::optional<probe_target>& target)
{
    const auto text = read_text(object, member);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    if (text->empty())
    {
        return {};
    }
    const auto parsed = parse_probe_url(*text);
    if (!parsed)
    {
        return invalid_member(member, "a URL http://A.B.C.D:PORT/PATH");
    }
    target = *parsed;
    return {};
}

/// Runs the steps in order and returns the first error.
template <typename... Steps>
result<void> run_until_failure(const Steps&... steps)
{
    result<void> outcome;
    ((outcome = steps(), outcome.has_value()) && ...);
    return outcome;
}

result<void> read_members(const json& object,
                          upstream_announcement& announcement)
{
    auto& record = announcement.record;
    const auto number = [&object](const char* member, std::uint64_t low,
                                  std::uint64_t high, auto& value)
    {
        return [&object, member, low, high, &value]
        {
            return read_number(object, member, low, high, value);
        };
    };
    return run_until_failure(
        [&] { return read_address(object, record.address); },
        [&] { return read_state(object, record.state); },
        number("slots", 1, 65535, record.slots),
        number("connections", 1, 10000000, record.connections),
        number("weight", 0, 10000, record.weight),
        number("warmup_ms", 0, 3600000, record.warmup_ms),
        number("lease_ms", 500, 600000, record.lease_ms),
        number("incarnation", 0, UINT64_MAX, record.incarnation),
        number("sequence", 0, UINT64_MAX, record.sequence),
        [&] { return read_probe(object, "health_url", announcement.health); },
        [&] { return read_probe(object, "load_url", announcement.load); });
}

} // namespace

result<upstream_announcement> parse_announcement(std::string_view body,
                                                 service_id service,
                                                 std::string_view name,
                                                 data_centre_id data_centre,
                                                 std::uint64_t version)
{
    if (name.empty() || name.size() > max_name_length)
    {
        return failure(error_kind::invalid_argument,
                       "the upstream name must have 1 to 64 bytes");
    }
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
    {
        return failure(error_kind::invalid_argument,
                       "the body is not a JSON object");
    }
    upstream_announcement announcement;
    announcement.record.service = service;
    announcement.record.upstream = protocol::upstream_id_of(name);
    announcement.record.name = name;
    announcement.record.data_centre = data_centre;
    announcement.record.sequence = version;
    return read_members(object, announcement).map([&] { return announcement; });
}

result<probe_target> parse_probe_url(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme))
    {
        return failure(error_kind::invalid_argument, "not an http URL");
    }
    url.remove_prefix(scheme.size());
    const auto slash = url.find('/');
    const auto address = transport::parse_endpoint(url.substr(0, slash));
    if (!address)
    {
        return tl::unexpected(address.error());
    }
    const auto path = slash == std::string_view::npos ? "/" : url.substr(slash);
    return probe_target{*address, std::string(path)};
}

} // namespace boragestand::entry
