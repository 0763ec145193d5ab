#pragma once

#include "coordination/coordination.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace boragestand::entry
{

/// Reports of an entry instance to the control instances: the revision in
/// effect, and requests to wake the director.
class control_link
{
public:
    using acknowledged = std::function<void(service_id, std::uint64_t)>;

    /// control are the HTTP/2 endpoints of the control instances.
    control_link(instance_id self, std::uint64_t incarnation,
                 transport::main_loop& loop, transport::timer_service& timers,
                 const std::vector<transport::endpoint>& control,
                 acknowledged on_acknowledged);

    /// Reports a revision to every control instance, at most four times a
    /// second; also repeated every 5 s, so that a control instance that
    /// restarts learns it.
    void report_revision(std::uint64_t revision);

    /// Asks control to wake the director. Other control instances are tried in
    /// turn when one fails; the router repeats the request if all do.
    void request_director(const coordination::director_request& request,
                          const std::string& service_name);

private:
    void send_report();
    void try_director(coordination::director_request request,
                      const std::string& body, std::size_t attempt);

    instance_id self_;
    std::uint64_t incarnation_;
    std::uint64_t revision_{0};
    std::vector<std::unique_ptr<transport::http2_client>> clients_;
    transport::timer_service& timers_;
    acknowledged on_acknowledged_;
    time_point last_report_{};
    bool report_due_{false};
    transport::subscription timer_;
    transport::subscription spacing_timer_;
};

} // namespace boragestand::entry
