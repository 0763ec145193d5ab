#pragma once

#include "replica/group_founding.hpp"
#include "replica/member_service.hpp"

namespace boragestand::replica
{

/// Answers the HTTP/2 requests that the instances of a group send each other.
class group_api
{
public:
    using exchange = std::shared_ptr<transport::http_exchange>;

    /// Components that supply the answers; they must outlive the group_api.
    struct parts
    {
        replica_runner& runner;
        group_founding& founding;
        member_service& members;
        transport::timer_service& timers;
        replica_log& log;
    };

    explicit group_api(const parts& surroundings) : parts_(surroundings) {}

    /// Answers GET /v1/identity, POST /v1/peer and POST /v1/members; false for
    /// any other request.
    bool handle(const transport::http_request& request, const exchange& answer);

private:
    void receive_peer(const transport::http_request& request,
                      const exchange& answer);

    parts parts_;
};

} // namespace boragestand::replica
