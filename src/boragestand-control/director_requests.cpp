#include "director_requests.hpp"

#include <nlohmann/json.hpp>

namespace boragestand::control
{

namespace
{

constexpr duration repeat_interval = std::chrono::seconds(1);
constexpr duration answer_timeout = std::chrono::seconds(2);

// Episodes that are open or remembered as acknowledged at once.
constexpr std::size_t open_limit = 256;
constexpr std::size_t done_limit = 1024;

// Requests that wait for one episode; an entry instance repeats its request.
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
    , timer_(
          timers.every(repeat_interval, [this](time_point) { send_again(); }))
{
}

void director_requests::add(
    const director_wish& wish,
    const std::shared_ptr<transport::http_exchange>& exchange)
{
    if (done_.contains(wish))
    {
        exchange->respond({.status = 200, .headers = {}, .body = "{}"});
        return;
    }
    const bool known = open_.contains(wish);
    if (!known && open_.size() >= open_limit)
    {
        const auto& answer = get_error_info(error_kind::resource_exhausted);
        exchange->respond(
            {.status = answer.http_status, .headers = {}, .body = {}});
        return;
    }
    auto& waiting = open_[wish].waiting;
    std::erase_if(waiting, [](const auto& each) { return !each->is_open(); });
    if (waiting.size() < waiting_limit)
    {
        waiting.push_back(exchange);
    }
    if (!known)
    {
        log_.director_woken(wish.service, wish.episode, "sent");
        send(wish);
    }
}

void director_requests::send(const director_wish& wish)
{
    open_.at(wish).in_flight = true;
    const nlohmann::json body{{"service", wish.service},
                              {"episode", wish.episode},
                              {"reason", wish.reason},
                              {"instance", wish.instance}};
    peers_.request(
        director_,
        {.method = "POST",
         .path = path_,
         .headers = {},
         .body = body.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)},
        answer_timeout,
        [this, wish](const result<transport::http_response>& response)
        {
            if (response && response->status / 100 == 2)
            {
                acknowledged(wish);
                return;
            }
            open_.at(wish).in_flight = false;
        });
}

void director_requests::acknowledged(const director_wish& wish)
{
    log_.director_woken(wish.service, wish.episode, "acknowledged");
    const auto finished = open_.extract(wish);
    done_.insert(wish);
    done_order_.push_back(wish);
    if (done_order_.size() > done_limit)
    {
        done_.erase(done_order_.front());
        done_order_.pop_front();
    }
    for (const auto& exchange : finished.mapped().waiting)
    {
        exchange->respond({.status = 200, .headers = {}, .body = "{}"});
    }
}

void director_requests::send_again()
{
    std::vector<director_wish> idle;
    for (const auto& [wish, state] : open_)
    {
        if (!state.in_flight)
        {
            idle.push_back(wish);
        }
    }
    for (const auto& wish : idle)
    {
        send(wish);
    }
}

} // namespace boragestand::control
