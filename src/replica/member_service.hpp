#pragma once

#include "replica/founding_status.hpp"
#include "replica/replica_log.hpp"
#include "replica/replica_runner.hpp"

#include <memory>
#include <string>

namespace boragestand::replica
{

/// Answers POST /v1/members. A new member is asked for the identity of its disk
/// before it is admitted as a learner.
class member_service
{
public:
    using exchange = std::shared_ptr<transport::http_exchange>;

    member_service(replica_runner& runner, peer_link& peers, replica_log& log);

    /// Runs the change; the answer comes once it is committed.
    void handle(const transport::http_request& request, const exchange& answer);

private:
    struct member_request
    {
        std::string action;
        std::uint32_t instance{0};
        transport::endpoint address;
        std::uint32_t replaces{0}; ///< 0 for none
    };

    static result<member_request> parse(const std::string& body);
    void remove(const member_request& request, const exchange& answer);
    void admit(const member_request& request, const exchange& answer);
    void admit(const member_request& request, replica_id joining,
               const exchange& answer);
    void propose(const agreement::membership_change& change,
                 std::uint32_t instance, const exchange& answer);
    const protocol::replica* member_of(std::uint32_t instance) const;
    void succeed(std::uint32_t instance, std::uint64_t index,
                 const exchange& answer);
    void refuse(const error& cause, const exchange& answer);

    replica_runner& runner_;
    peer_link& peers_;
    replica_log& log_;
};

} // namespace boragestand::replica
