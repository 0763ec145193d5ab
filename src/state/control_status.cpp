#include "state/control_status.hpp"

namespace boragestand::state
{

namespace
{

using nlohmann::json;

json make_json(const status_entry& entry)
{
    json object{{"id", entry.id.value},
                {"name", entry.name},
                {"revision", entry.revision}};
    if (entry.age_ms)
    {
        object["age_ms"] = *entry.age_ms;
    }
    return object;
}

status_member parse_member(const json& object)
{
    return {instance_id{object.at("id").get<std::uint32_t>()},
            object.at("http").get<std::string>(),
            object.at("voter").get<bool>()};
}

status_entry parse_entry(const json& object)
{
    status_entry entry;
    entry.id.value = object.at("id");
    entry.name = object.at("name");
    entry.revision = object.at("revision");
    if (object.contains("age_ms"))
    {
        entry.age_ms = object.at("age_ms").get<std::uint64_t>();
    }
    return entry;
}

control_status parse_status(const json& object)
{
    control_status status;
    status.instance.value = object.at("instance");
    status.role = object.at("role");
    status.term = object.at("term");
    status.leader = object.at("leader");
    status.commit_index = object.at("commit_index");
    status.applied_index = object.at("applied_index");
    status.revision = object.at("revision");
    status.note_number = object.at("note_number");
    for (const json& each : object.at("members"))
    {
        status.members.push_back(parse_member(each));
    }
    for (const json& each : object.at("entries"))
    {
        status.entries.push_back(parse_entry(each));
    }
    return status;
}

} // namespace

json to_json(const control_status& status)
{
    json object{{"instance", status.instance.value},
                {"role", status.role},
                {"term", status.term},
                {"leader", status.leader},
                {"commit_index", status.commit_index},
                {"applied_index", status.applied_index},
                {"revision", status.revision},
                {"note_number", status.note_number},
                {"members", json::array()},
                {"entries", json::array()}};
    for (const status_member& each : status.members)
    {
        object["members"].push_back({{"id", each.id.value},
                                     {"http", each.http},
                                     {"voter", each.voter}});
    }
    for (const status_entry& each : status.entries)
    {
        object["entries"].push_back(make_json(each));
    }
    return object;
}

result<control_status> control_status_from_json(std::string_view text)
{
    try
    {
        return parse_status(json::parse(text));
    }
    catch (const json::exception& fault)
    {
        return failure(error_kind::malformed_message,
                       std::string("status cannot be read: ") + fault.what());
    }
}

} // namespace boragestand::state
