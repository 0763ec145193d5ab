#include "control_link.hpp"

#include <nlohmann/json.hpp>

namespace boragestand::entry
{

namespace
{

constexpr duration report_interval = std::chrono::seconds(5);

/// Minimum time between two reports. It prevents a burst of release notes from
/// sending one report per note to each control instance.
constexpr duration min_report_interval = std::chrono::milliseconds(250);

constexpr duration request_timeout = std::chrono::seconds(2);

} // namespace

control_link::control_link(instance_id self, std::uint64_t incarnation,
                           transport::main_loop& loop,
                           transport::timer_service& timers,
                           const std::vector<transport::endpoint>& control,
                           acknowledgement_callback on_acknowledged)
    : self_(self)
    , incarnation_(incarnation)
    , timers_(timers)
    , on_acknowledged_(std::move(on_acknowledged))
    , timer_(
          timers.every(report_interval, [this](time_point) { send_report(); }))
{
    for (const auto& address : control)
    {
        clients_.push_back(
            std::make_unique<transport::http2_client>(loop, timers, address));
    }
}

void control_link::report_revision(std::uint64_t revision)
{
    revision_ = revision;
    if (report_scheduled_)
    {
        return;
    }
    const duration passed = timers_.now() - last_report_;
    if (passed >= min_report_interval)
    {
        send_report();
        return;
    }
    report_scheduled_ = true;
    delayed_report_timer_ = timers_.after(
        min_report_interval - passed, [this](time_point) { send_report(); });
}

void control_link::request_director(
    const coordination::director_request& request,
    const std::string& service_name)
{
    const nlohmann::json body{{"instance", self_.value},
                              {"service", service_name},
                              {"episode", request.episode},
                              {"reason", request.reason}};
    send_director_request(request, body.dump(), 0);
}

void control_link::send_report()
{
    report_scheduled_ = false;
    last_report_ = timers_.now();
    const nlohmann::json body{{"instance", self_.value},
                              {"incarnation", incarnation_},
                              {"revision", revision_}};
    for (const auto& client : clients_)
    {
        client->request(
            {.method = "POST", .path = "/v1/revisions", .body = body.dump()},
            request_timeout, [](const result<transport::http_response>&) {});
    }
}

void control_link::send_director_request(coordination::director_request request,
                                         const std::string& body,
                                         std::size_t attempt)
{
    if (attempt >= clients_.size())
    {
        return;
    }
    clients_[attempt]->request(
        {.method = "POST", .path = "/v1/director-requests", .body = body},
        request_timeout,
        [this, request, body,
         attempt](const result<transport::http_response>& answer)
        {
            if (answer && answer->status / 100 == 2)
            {
                on_acknowledged_(request.service, request.episode);
                return;
            }
            send_director_request(request, body, attempt + 1);
        });
}

} // namespace boragestand::entry
