#include "configuration_publisher.hpp"

#include "frame.hpp"

namespace boragestand::entry
{

namespace
{

constexpr duration keepalive_interval = std::chrono::seconds(1);

/// Bytes that a slow subscriber may leave unread before its stream is closed.
constexpr std::size_t backlog_limit = 16 * 1024 * 1024;

/// Largest number of simultaneous subscribers.
constexpr std::size_t subscriber_limit = 64;

} // namespace

configuration_publisher::configuration_publisher(
    transport::timer_service& timers)
    : current_(std::make_shared<const state::configuration>())
    , timer_(timers.every(keepalive_interval,
                          [this](time_point) { send_keepalives(); }))
{
}

void configuration_publisher::subscribe(
    std::shared_ptr<transport::http_exchange> exchange, std::uint64_t after)
{
    if (subscribers_.size() >= subscriber_limit)
    {
        exchange->respond(
            {.status =
                 error_info_for(error_kind::resource_exhausted).http_status});
        return;
    }
    exchange->start_stream(200, {});
    if (current_->revision > after)
    {
        send_to(*exchange);
    }
    subscribers_.push_back(std::move(exchange));
}

void configuration_publisher::publish(
    std::shared_ptr<const state::configuration> configuration)
{
    current_ = std::move(configuration);
    for (const auto& subscriber : subscribers_)
    {
        send_to(*subscriber);
    }
}

void configuration_publisher::send_to(transport::http_exchange& exchange)
{
    const auto bytes = state::encode_configuration_update(*current_);
    exchange.send_chunk(make_frame(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()}));
}

void configuration_publisher::send_keepalives()
{
    std::erase_if(subscribers_,
                  [](const auto& subscriber)
                  {
                      if (subscriber->backlog() > backlog_limit)
                      {
                          subscriber->finish_stream();
                          return true;
                      }
                      return !subscriber->is_open();
                  });
    for (const auto& subscriber : subscribers_)
    {
        subscriber->send_chunk(make_frame({}));
    }
}

} // namespace boragestand::entry
