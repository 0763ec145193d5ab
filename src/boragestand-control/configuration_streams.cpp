#include "configuration_streams.hpp"

namespace boragestand::control
{

namespace
{

constexpr duration keepalive_interval = std::chrono::seconds(1);

// Largest number of streams; it covers the entry instances of a fleet's data
// centres that one control instance serves.
constexpr std::size_t receiver_limit = 4096;

// Bytes that a slow receiver may leave unread before its stream is closed. The
// receiver then opens a new stream at its own revision.
constexpr std::size_t backlog_limit = 16 * 1024 * 1024;

std::string frame_of(std::span<const std::byte> payload)
{
    std::string frame;
    frame.reserve(payload.size() + 4);
    for (const int shift : {24, 16, 8, 0})
    {
        frame.push_back(static_cast<char>((payload.size() >> shift) & 0xff));
    }
    frame.append(reinterpret_cast<const char*>(payload.data()), payload.size());
    return frame;
}

} // namespace

configuration_streams::configuration_streams(transport::timer_service& timers)
    : timer_(timers.every(keepalive_interval,
                          [this](time_point) { keep_alive(); }))
{
}

void configuration_streams::add(
    std::shared_ptr<transport::http_exchange> exchange, std::uint64_t after,
    const state::control_state& state)
{
    if (receivers_.size() >= receiver_limit)
    {
        const auto& answer = error_info_for(error_kind::resource_exhausted);
        exchange->respond(
            {.status = answer.http_status, .headers = {}, .body = {}});
        return;
    }
    exchange->start_stream(200, {});
    receivers_.push_back({std::move(exchange), after});
    send(receivers_.back(), state);
}

void configuration_streams::publish(const state::control_state& state)
{
    for (auto& target : receivers_)
    {
        send(target, state);
    }
}

// A receiver with a newer revision than this instance gets no update until this
// instance has caught up, so the receiver's revision never decreases.
void configuration_streams::send(receiver& target,
                                 const state::control_state& state)
{
    if (state.current()->revision <= target.revision)
    {
        return;
    }
    for (const auto& update : state.updates_after(target.revision))
    {
        target.exchange->send_chunk(
            frame_of(state::encode_configuration_update(update)));
    }
    target.revision = state.current()->revision;
}

void configuration_streams::keep_alive()
{
    std::erase_if(receivers_,
                  [](const receiver& target)
                  {
                      if (target.exchange->backlog() > backlog_limit)
                      {
                          target.exchange->finish_stream();
                          return true;
                      }
                      return !target.exchange->is_open();
                  });
    for (const auto& target : receivers_)
    {
        target.exchange->send_chunk(frame_of({}));
    }
}

void configuration_streams::finish()
{
    for (const auto& target : receivers_)
    {
        target.exchange->finish_stream();
    }
    receivers_.clear();
}

} // namespace boragestand::control
