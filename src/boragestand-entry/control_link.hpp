#pragma once

#include "coordination/coordination.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace boragestand::entry
{

/// Sends the control instances the configuration revision in effect and
/// requests to wake the director.
class control_link
{
public:
    using acknowledgement_callback =
        std::function<void(service_id, std::uint64_t)>;

    /// control are the HTTP/2 endpoints of the control instances.
    control_link(instance_id self, std::uint64_t incarnation,
                 transport::main_loop& loop, transport::timer_service& timers,
                 const std::vector<transport::endpoint>& control,
                 acknowledgement_callback on_acknowledged);

    /// Reports a revision to every control instance, at most four times a
    /// second. The report is repeated every 5 s for control instances that have
    /// restarted.
    void report_revision(std::uint64_t revision);

    /// Asks the control instances in turn to wake the director until one
    /// confirms. If all fail, the router repeats the request.
    void request_director(const coordination::director_request& request,
                          const std::string& service_name);

private:
    void send_report();
    void send_director_request(coordination::director_request request,
                               const std::string& body, std::size_t attempt);

    instance_id self_;
    std::uint64_t incarnation_;
    std::uint64_t revision_{0};
    std::vector<std::unique_ptr<transport::http2_client>> clients_;
    transport::timer_service& timers_;
    acknowledgement_callback on_acknowledged_;
    time_point last_report_{};
    bool report_scheduled_{false};
    transport::subscription timer_;
    transport::subscription delayed_report_timer_;
};

} // namespace boragestand::entry
