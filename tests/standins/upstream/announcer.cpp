#include "announcer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace boragestand::standins
{

namespace
{

constexpr duration response_timeout = std::chrono::milliseconds(500);
constexpr duration retry_delay = std::chrono::milliseconds(100);

} // namespace

announcer::announcer(program& host, announcement content,
                     std::vector<transport::endpoint> entries)
    : host_(host)
    , content_(std::move(content))
    , entries_(std::move(entries))
    , client_(std::make_unique<transport::http2_client>(host.loop, host.timers,
                                                        entries_.front()))
{
    send();
}

std::string announcer::next_body()
{
    return nlohmann::json{
        {"address", transport::format_address(content_.address.address)},
        {"port", content_.address.port},
        {"slots", content_.slots},
        {"connections", content_.connections},
        {"weight", content_.weight},
        {"warmup_ms", content_.warmup_ms},
        {"state", draining_ ? "draining" : "ready"},
        {"health_url", content_.health_url},
        {"load_url", content_.load_url},
        {"lease_ms", content_.lease_ms},
        {"incarnation", incarnation_},
        {"sequence", ++sequence_}}
        .dump();
}

void announcer::send()
{
    if (withdrawn_)
    {
        return;
    }
    client_->request(
        {"PUT",
         "/v1/upstreams/" + content_.service + '/' + content_.name,
         {{"content-type", "application/json"}},
         next_body()},
        response_timeout,
        [this](const result<transport::http_response>& response)
        {
            const bool confirmed = response && response->status / 100 == 2;
            announced_ = announced_ || confirmed;
            const duration renewal =
                std::chrono::milliseconds(content_.lease_ms) / 3;
            renewal_ = host_.timers.after(confirmed ? renewal : retry_delay,
                                          [this, confirmed](time_point)
                                          {
                                              if (!confirmed)
                                              {
                                                  use_next_entry();
                                              }
                                              send();
                                          });
        });
}

void announcer::use_next_entry()
{
    current_ = (current_ + 1) % entries_.size();
    client_ = std::make_unique<transport::http2_client>(
        host_.loop, host_.timers, entries_[current_]);
}

void announcer::drain()
{
    draining_ = true;
    send();
}

void announcer::withdraw(std::function<void()> done)
{
    withdrawn_ = true;
    renewal_.cancel();
    send_withdrawal(entries_.size(), std::move(done));
}

void announcer::send_withdrawal(std::size_t attempts,
                                std::function<void()> done)
{
    if (attempts == 0)
    {
        done();
        return;
    }
    client_->request({"DELETE",
                      "/v1/upstreams/" + content_.service + '/' + content_.name,
                      {},
                      ""},
                     response_timeout,
                     [this, attempts, done = std::move(done)](
                         const result<transport::http_response>& response)
                     {
                         if (response && response->status / 100 == 2)
                         {
                             done();
                             return;
                         }
                         host_.loop.post(
                             [this, attempts, done]
                             {
                                 use_next_entry();
                                 send_withdrawal(attempts - 1, done);
                             });
                     });
}

} // namespace boragestand::standins
