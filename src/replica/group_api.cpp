#include "replica/group_api.hpp"

#include "state/command_http.hpp"

namespace boragestand::replica
{

bool group_api::handle(const transport::http_request& request,
                       const exchange& answer)
{
    if (request.method == "GET" && request.path == "/v1/identity")
    {
        answer->respond({.status = 200,
                         .headers = {},
                         .body = to_json(parts_.founding.status())});
        return true;
    }
    if (request.method != "POST")
    {
        return false;
    }
    if (request.path == "/v1/peer")
    {
        receive_peer(request, answer);
        return true;
    }
    if (request.path == "/v1/members")
    {
        parts_.members.handle(request, answer);
        return true;
    }
    return false;
}

void group_api::receive_peer(const transport::http_request& request,
                             const exchange& answer)
{
    const auto envelope = protocol::decode_agreement_message(request.body);
    if (!envelope)
    {
        parts_.log.bad_input("peer", envelope.error(), answer->peer(),
                             parts_.timers.now());
        answer->respond(state::to_http(envelope.error()));
        return;
    }
    answer->respond({.status = 204, .headers = {}, .body = {}});
    parts_.runner.receive(*envelope);
}

} // namespace boragestand::replica
