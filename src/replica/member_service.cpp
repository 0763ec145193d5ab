#include "replica/member_service.hpp"

#include "replica/group_founding.hpp"
#include "state/command_http.hpp"

#include <algorithm>

namespace boragestand::replica
{

namespace
{

constexpr duration identity_timeout = std::chrono::seconds(2);

error make_error(error_kind kind, std::string message)
{
    return {kind, std::move(message)};
}

} // namespace

member_service::member_service(replica_runner& runner, peer_link& peers,
                               replica_log& log)
    : runner_(runner), peers_(peers), log_(log)
{
}

result<member_service::member_request>
member_service::parse(const std::string& body)
{
    const auto value = nlohmann::json::parse(body, nullptr, false);
    try
    {
        member_request request;
        request.action = value.at("action").get<std::string>();
        request.instance = value.at("id").get<std::uint32_t>();
        request.replaces = value.value("replaces", std::uint32_t{0});
        const bool admits =
            request.action == "add" || request.action == "replace";
        if (!admits && request.action != "remove")
        {
            return failure(error_kind::invalid_argument,
                           "action must be add, remove or replace");
        }
        if (request.action == "replace" && request.replaces == 0)
        {
            return failure(error_kind::invalid_argument,
                           "replace needs the number that is replaced");
        }
        if (!admits)
        {
            return request;
        }
        const auto address =
            transport::parse_endpoint(value.at("http").get<std::string>());
        if (!address)
        {
            return tl::unexpected(address.error());
        }
        request.address = *address;
        return request;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(error_kind::invalid_argument, problem.what());
    }
}

const protocol::replica* member_service::member_of(std::uint32_t instance) const
{
    const auto& members = runner_.node().group().members;
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [instance](const protocol::replica& member)
                     { return instance_of(member.id) == instance; });
    return found == members.end() ? nullptr : &*found;
}

void member_service::handle(const transport::http_request& request,
                            const exchange& answer)
{
    if (!runner_.is_leader())
    {
        answer->respond(state::not_leader_response(runner_.leader_address()));
        return;
    }
    const auto wanted = parse(request.body);
    if (!wanted)
    {
        refuse(wanted.error(), answer);
        return;
    }
    if (wanted->action == "remove")
    {
        remove(*wanted, answer);
        return;
    }
    admit(*wanted, answer);
}

void member_service::remove(const member_request& request,
                            const exchange& answer)
{
    if (const auto* member = member_of(request.instance))
    {
        propose(agreement::remove_replica{member->id}, request.instance,
                answer);
        return;
    }
    const auto& retired = runner_.node().committed_group().retired;
    const bool was_member =
        std::any_of(retired.begin(), retired.end(),
                    [&request](replica_id id)
                    { return instance_of(id) == request.instance; });
    if (was_member)
    {
        succeed(request.instance, runner_.node().commit_index(), answer);
        return;
    }
    refuse(make_error(error_kind::not_found,
                      "instance " + std::to_string(request.instance) +
                          " is not a member"),
           answer);
}

void member_service::admit(const member_request& request,
                           const exchange& answer)
{
    peers_.request(
        request.address,
        {.method = "GET", .path = "/v1/identity", .headers = {}, .body = {}},
        identity_timeout,
        [this, request,
         answer](const result<transport::http_response>& response)
        {
            if (!response)
            {
                refuse(response.error(), answer);
                return;
            }
            const auto status = founding_status_from_json(response->body);
            if (!status)
            {
                refuse(status.error(), answer);
                return;
            }
            admit(request, status->replica, answer);
        });
}

void member_service::admit(const member_request& request, replica_id joining,
                           const exchange& answer)
{
    if (instance_of(joining) != request.instance)
    {
        refuse(make_error(error_kind::invalid_argument,
                          transport::to_string(request.address) +
                              " is instance " +
                              std::to_string(instance_of(joining)) + ", not " +
                              std::to_string(request.instance)),
               answer);
        return;
    }
    if (runner_.node().committed_group().find(joining) != nullptr)
    {
        succeed(request.instance, runner_.node().commit_index(), answer);
        return;
    }
    const auto* replaced =
        request.replaces == 0 ? nullptr : member_of(request.replaces);
    if (request.replaces != 0 && replaced == nullptr)
    {
        refuse(make_error(error_kind::not_found,
                          "instance " + std::to_string(request.replaces) +
                              " is not a member"),
               answer);
        return;
    }
    // A lost disk comes back at the address of its instance. Another address
    // means a second process with this number while the first may be alive.
    const auto* known = member_of(request.instance);
    if (known != nullptr &&
        (known != replaced || known->address != request.address))
    {
        refuse(make_error(error_kind::conflict,
                          "instance " + std::to_string(request.instance) +
                              " is a member at " +
                              transport::to_string(known->address)),
               answer);
        return;
    }
    propose(agreement::add_replica{joining, request.address,
                                   replaced ? replaced->id : replica_id{}},
            request.instance, answer);
}

void member_service::propose(const agreement::membership_change& change,
                             std::uint32_t instance, const exchange& answer)
{
    runner_.change(change,
                   [this, instance, answer](const result<std::uint64_t>& index)
                   {
                       if (!index)
                       {
                           refuse(index.error(), answer);
                           return;
                       }
                       succeed(instance, *index, answer);
                   });
}

void member_service::succeed(std::uint32_t instance, std::uint64_t index,
                             const exchange& answer)
{
    answer->respond(
        state::json_response(200, {{"id", instance}, {"index", index}}));
}

void member_service::refuse(const error& cause, const exchange& answer)
{
    log_.request_failed("/v1/members", cause);
    if (cause.kind == error_kind::not_leader)
    {
        answer->respond(state::not_leader_response(
            runner_.is_leader() ? std::nullopt : runner_.leader_address()));
        return;
    }
    answer->respond(state::to_http(cause));
}

} // namespace boragestand::replica
