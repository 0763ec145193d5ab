#include "state/configuration_json.hpp"

#include "state/release_note.hpp"

#include <array>
#include <charconv>
#include <stdexcept>

namespace boragestand::state
{

namespace
{

using nlohmann::json;

std::string find_service_name(const configuration& value, service_id id)
{
    const service* found = value.find_service(id);
    return found == nullptr ? std::string() : found->name;
}

json make_json(const service& value)
{
    return {{"id", value.id.value},
            {"name", value.name},
            {"address", transport::to_string(value.address)},
            {"protocol", name_of(value.protocol)},
            {"idempotent", value.idempotent},
            {"work", name_of(value.work)},
            {"short_limit_ms", value.short_limit_ms},
            {"hold_limit_ms", value.hold_limit_ms},
            {"hold_capacity", value.hold_capacity},
            {"idle_limit_ms", value.idle_limit_ms}};
}

json make_json(const rule& value, const configuration& owner)
{
    return {{"name", value.name},
            {"service", find_service_name(owner, value.service)},
            {"source", transport::format_address(value.source_address) + "/" +
                           std::to_string(value.source_prefix_length)},
            {"work", name_of(value.work)},
            {"action", name_of(value.action)},
            {"share_percent", value.share_percent}};
}

json make_json(const upstream_override& value, const configuration& owner)
{
    json object{{"service", find_service_name(owner, value.service)},
                {"upstream", value.upstream},
                {"drain", value.drain}};
    if (value.weight)
    {
        object["weight"] = *value.weight;
    }
    return object;
}

json make_json(const refusal_agreement& value, const configuration& owner)
{
    return {{"id", value.id},
            {"director", value.director},
            {"service", find_service_name(owner, value.service)},
            {"rule", value.rule},
            {"limit_per_minute", value.limit_per_minute},
            {"expires", value.expires.time_since_epoch().count()}};
}

/// The enumerator with this name; throws if none of these has it.
template <typename Enumeration>
Enumeration parse_enumerator(const json& name,
                             std::initializer_list<Enumeration> all)
{
    for (const Enumeration each : all)
    {
        if (name == name_of(each))
        {
            return each;
        }
    }
    throw std::invalid_argument("unknown name");
}

protocol::request_class parse_work(const json& name)
{
    using protocol::request_class;
    return parse_enumerator(name, {request_class::unspecified,
                                   request_class::short_work,
                                   request_class::long_work});
}

service parse_service(const json& object)
{
    using protocol::ip_protocol;
    service value;
    value.id.value = object.at("id");
    value.name = object.at("name");
    value.address =
        transport::parse_endpoint(object.at("address").get<std::string>())
            .value();
    value.protocol = parse_enumerator(object.at("protocol"),
                                      {ip_protocol::tcp, ip_protocol::udp});
    value.idempotent = object.at("idempotent");
    value.work = parse_work(object.at("work"));
    value.short_limit_ms = object.at("short_limit_ms");
    value.hold_limit_ms = object.at("hold_limit_ms");
    value.hold_capacity = object.at("hold_capacity");
    value.idle_limit_ms = object.at("idle_limit_ms");
    return value;
}

service_id find_service_id(const json& object, const configuration& owner)
{
    const service* found =
        owner.find_service(object.at("service").get<std::string>());
    if (found == nullptr)
    {
        throw std::invalid_argument("unknown service");
    }
    return found->id;
}

rule parse_rule(const json& object, const configuration& owner)
{
    rule value;
    value.name = object.at("name");
    value.service = find_service_id(object, owner);
    const auto source = object.at("source").get<std::string>();
    const std::size_t slash = source.find('/');
    value.source_address =
        transport::parse_address(source.substr(0, slash)).value();
    value.source_prefix_length =
        static_cast<std::uint8_t>(std::stoul(source.substr(slash + 1)));
    value.work = parse_work(object.at("work"));
    value.action = parse_enumerator(
        object.at("action"),
        {rule_action::accept, rule_action::share, rule_action::refuse});
    value.share_percent = object.at("share_percent");
    return value;
}

upstream_override parse_override(const json& object, const configuration& owner)
{
    upstream_override value;
    value.service = find_service_id(object, owner);
    value.upstream = object.at("upstream");
    value.drain = object.at("drain");
    if (object.contains("weight"))
    {
        value.weight = object.at("weight").get<std::uint16_t>();
    }
    return value;
}

refusal_agreement parse_agreement(const json& object,
                                  const configuration& owner)
{
    refusal_agreement value;
    value.id = object.at("id");
    value.director = object.at("director");
    value.service = find_service_id(object, owner);
    value.rule = object.at("rule");
    value.limit_per_minute = object.at("limit_per_minute");
    value.expires = wall_time(
        std::chrono::milliseconds(object.at("expires").get<std::int64_t>()));
    return value;
}

configuration parse_configuration(const json& object)
{
    configuration value;
    value.revision = object.at("revision");
    value.note_number = object.at("note_number");
    value.last_service = object.at("last_service");
    for (const json& each : object.at("services"))
    {
        value.services.push_back(parse_service(each));
    }
    for (const json& each : object.at("rules"))
    {
        value.rules.push_back(parse_rule(each, value));
    }
    for (const json& each : object.at("overrides"))
    {
        value.overrides.push_back(parse_override(each, value));
    }
    for (const json& each : object.at("agreements"))
    {
        value.agreements.push_back(parse_agreement(each, value));
    }
    return value;
}

} // namespace

json to_json(const configuration& value)
{
    json object{{"revision", value.revision},
                {"note_number", value.note_number},
                {"last_service", value.last_service},
                {"services", json::array()},
                {"rules", json::array()},
                {"overrides", json::array()},
                {"agreements", json::array()}};
    for (const service& each : value.services)
    {
        object["services"].push_back(make_json(each));
    }
    for (const rule& each : value.rules)
    {
        object["rules"].push_back(make_json(each, value));
    }
    for (const upstream_override& each : value.overrides)
    {
        object["overrides"].push_back(make_json(each, value));
    }
    for (const refusal_agreement& each : value.agreements)
    {
        object["agreements"].push_back(make_json(each, value));
    }
    return object;
}

result<configuration> configuration_from_json(std::string_view text)
{
    try
    {
        return parse_configuration(json::parse(text));
    }
    catch (const std::exception& fault)
    {
        return failure(error_kind::malformed_message,
                       std::string("configuration cannot be read: ") +
                           fault.what());
    }
}

} // namespace boragestand::state
