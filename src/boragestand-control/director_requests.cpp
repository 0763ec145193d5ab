#include "director_requests.hpp"

#include <nlohmann/json.hpp>

namespace boragestand::control
{

namespace
{

constexpr duration repeat_interval = std::chrono::seconds(1);
constexpr duration answer_timeout = std::chrono::seconds(2);

// Largest numbers of pending and of acknowledged episodes that are kept.
constexpr std::size_t pending_limit = 256;
constexpr std::size_t acknowledged_limit = 1024;

// Largest number of exchanges that wait for one episode. Further exchanges are
// dropped; entry instances repeat their requests.
constexpr std::size_t waiting_limit = 8;

} // namespace

director_requests::director_requests(const transport::endpoint& director,
                                     std::string path,
                                     transport::timer_service& timers,
                                     replica::peer_link& peers,
                                     control_log& log)
    : director_(director)
    , path_(std::move(path))
    , peers_(peers)
    , log_(log)
    , timer_(timers.every(repeat_interval,
                          [this](time_point) { retry_pending(); }))
{
}

void director_requests::add(
    const director_wake_request& request,
    const std::shared_ptr<transport::http_exchange>& exchange)
{
    if (acknowledged_.contains(request))
    {
        exchange->respond({.status = 200, .headers = {}, .body = "{}"});
        return;
    }
    const bool known = pending_.contains(request);
    if (!known && pending_.size() >= pending_limit)
    {
        const auto& answer = error_info_for(error_kind::resource_exhausted);
        exchange->respond(
            {.status = answer.http_status, .headers = {}, .body = {}});
        return;
    }
    auto& waiting = pending_[request].waiting;
    std::erase_if(waiting, [](const auto& each) { return !each->is_open(); });
    if (waiting.size() < waiting_limit)
    {
        waiting.push_back(exchange);
    }
    if (!known)
    {
        log_.log_director_request(request.service, request.episode, "sent");
        send(request);
    }
}

void director_requests::send(const director_wake_request& request)
{
    pending_.at(request).in_flight = true;
    const nlohmann::json body{{"service", request.service},
                              {"episode", request.episode},
                              {"reason", request.reason},
                              {"instance", request.instance}};
    peers_.request(
        director_,
        {.method = "POST",
         .path = path_,
         .headers = {},
         .body = body.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)},
        answer_timeout,
        [this, request](const result<transport::http_response>& response)
        {
            if (response && response->status / 100 == 2)
            {
                handle_acknowledgement(request);
                return;
            }
            pending_.at(request).in_flight = false;
        });
}

void director_requests::handle_acknowledgement(
    const director_wake_request& request)
{
    log_.log_director_request(request.service, request.episode, "acknowledged");
    const auto finished = pending_.extract(request);
    acknowledged_.insert(request);
    acknowledged_order_.push_back(request);
    if (acknowledged_order_.size() > acknowledged_limit)
    {
        acknowledged_.erase(acknowledged_order_.front());
        acknowledged_order_.pop_front();
    }
    for (const auto& exchange : finished.mapped().waiting)
    {
        exchange->respond({.status = 200, .headers = {}, .body = "{}"});
    }
}

void director_requests::retry_pending()
{
    std::vector<director_wake_request> idle;
    for (const auto& [request, state] : pending_)
    {
        if (!state.in_flight)
        {
            idle.push_back(request);
        }
    }
    for (const auto& request : idle)
    {
        send(request);
    }
}

} // namespace boragestand::control
