#include "replica/founding_status.hpp"

#include <nlohmann/json.hpp>

namespace boragestand::replica
{

namespace
{

using nlohmann::json;

protocol::replica member_from(const json& member)
{
    protocol::replica value;
    value.id.value = member.at("replica").get<std::uint64_t>();
    value.address =
        transport::parse_endpoint(member.at("http").get<std::string>())
            .value_or(transport::endpoint{});
    value.voter = member.at("voter").get<bool>();
    return value;
}

} // namespace

std::string to_json(const founding_status& status)
{
    json members = json::array();
    for (const auto& member : status.group.members)
    {
        members.push_back({{"replica", member.id.value},
                           {"http", transport::to_string(member.address)},
                           {"voter", member.voter}});
    }
    return json{{"replica", status.replica.value},
                {"formed", status.formed},
                {"founding_group", status.founding_group},
                {"leader", transport::to_string(status.leader)},
                {"members", members}}
        .dump();
}

result<founding_status> founding_status_from_json(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    try
    {
        founding_status status;
        status.replica.value = body.at("replica").get<std::uint64_t>();
        status.formed = body.at("formed").get<bool>();
        status.founding_group = body.at("founding_group").get<bool>();
        status.leader =
            transport::parse_endpoint(body.at("leader").get<std::string>())
                .value_or(transport::endpoint{});
        for (const auto& member : body.at("members"))
        {
            status.group.members.push_back(member_from(member));
        }
        if (status.group.members.size() > protocol::max_replicas)
        {
            return failure(error_kind::malformed_message, "too many members");
        }
        return status;
    }
    catch (const json::exception& problem)
    {
        return failure(error_kind::malformed_message, problem.what());
    }
}

} // namespace boragestand::replica
