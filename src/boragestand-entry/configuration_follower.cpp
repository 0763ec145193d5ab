#include "configuration_follower.hpp"

#include "frame.hpp"

namespace boragestand::entry
{

namespace
{

/// Interval of the check for failed streams. A failed control stream is opened
/// again on the next control instance.
constexpr duration retry_interval = std::chrono::milliseconds(500);

/// A stream that received nothing for this long is closed, since its sender may
/// hang or be unreachable. Senders send an empty frame each second.
constexpr duration silence_limit = std::chrono::seconds(3);

} // namespace

configuration_follower::configuration_follower(
    transport::main_loop& loop, transport::timer_service& timers,
    std::vector<transport::endpoint> control,
    std::map<instance_id, transport::endpoint> peers, entry_log& log,
    configuration_callback on_configuration)
    : loop_(loop)
    , timers_(timers)
    , log_(log)
    , on_configuration_(std::move(on_configuration))
    , current_(std::make_shared<const state::configuration>())
    , watch_timer_(timers.every(retry_interval,
                                [this](time_point now) { watch_streams(now); }))
{
    const auto make_source = [&](const transport::endpoint& address)
    {
        auto made = std::make_unique<source>();
        made->address = address;
        made->client =
            std::make_unique<transport::http2_client>(loop, timers, address);
        return made;
    };
    for (const auto& address : control)
    {
        control_.push_back(make_source(address));
    }
    for (const auto& [peer, address] : peers)
    {
        peers_.emplace(peer, make_source(address))
            .first->second->close_after_update = true;
    }
    follow_control();
}

void configuration_follower::fetch_from(instance_id peer,
                                        std::uint64_t revision)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end() || found->second->streaming ||
        current_->revision >= revision)
    {
        return;
    }
    open(*found->second);
}

void configuration_follower::open(source& from)
{
    from.buffer.clear();
    from.streaming = true;
    from.last_received = timers_.now();
    const std::string path =
        "/v1/configuration/stream?after=" + std::to_string(current_->revision);
    from.stream = from.client->stream(
        {.path = path},
        {.on_headers =
             [this, &from](int status)
         {
             if (status != 200)
             {
                 fail(from, {error_kind::unavailable,
                             "status " + std::to_string(status)});
             }
         },
         .on_chunk = [this, &from](std::string_view bytes)
         { handle_bytes(from, bytes); },
         .on_end =
             [this, &from](const result<void>& end)
         {
             fail(from, end ? error{error_kind::unavailable, "the stream ended"}
                            : end.error());
         }});
}

void configuration_follower::follow_control()
{
    if (control_.empty())
    {
        return;
    }
    open(*control_[control_index_]);
}

void configuration_follower::handle_bytes(source& from, std::string_view bytes)
{
    from.last_received = timers_.now();
    from.buffer += bytes;
    while (from.streaming && handle_frame(from))
    {
    }
}

bool configuration_follower::handle_frame(source& from)
{
    const auto frame = next_frame(from.buffer);
    if (!frame)
    {
        fail(from, frame.error());
        return false;
    }
    if (!frame->complete)
    {
        return false;
    }
    // An empty frame is a keepalive.
    const bool applied =
        frame->payload.empty() || handle_update(from, frame->payload);
    if (applied)
    {
        from.buffer.erase(0, frame->size);
    }
    return applied;
}

bool configuration_follower::handle_update(source& from, std::string_view frame)
{
    const auto update = state::decode_configuration_update(
        std::as_bytes(std::span(frame.data(), frame.size())));
    if (!update)
    {
        fail(from, update.error());
        return false;
    }
    auto next = state::apply_update(*update, current_);
    if (!next)
    {
        fail(from, next.error());
        return false;
    }
    if ((*next)->revision > current_->revision)
    {
        current_ = std::move(*next);
        on_configuration_(current_);
    }
    if (from.close_after_update)
    {
        close(from);
    }
    return true;
}

void configuration_follower::fail(source& from, const error& cause)
{
    if (!from.streaming)
    {
        return;
    }
    log_.log_lost_stream(from.address, cause, timers_.now());
    close(from);
}

void configuration_follower::close(source& from)
{
    from.streaming = false;
    // close() may run inside a callback of the stream, so the stream is
    // cancelled in the next iteration of the loop.
    loop_.post(
        [&from]
        {
            if (!from.streaming)
            {
                from.stream.cancel();
            }
        });
}

bool configuration_follower::end_if_silent(source& from, time_point now)
{
    if (!from.streaming || now - from.last_received <= silence_limit)
    {
        return false;
    }
    fail(from, {error_kind::timeout, "no data within 3 s"});
    return true;
}

void configuration_follower::watch_streams(time_point now)
{
    for (const auto& [peer, from] : peers_)
    {
        end_if_silent(*from, now);
    }
    if (control_.empty() || end_if_silent(*control_[control_index_], now))
    {
        return;
    }
    if (!control_[control_index_]->streaming)
    {
        control_index_ = (control_index_ + 1) % control_.size();
        follow_control();
    }
}

} // namespace boragestand::entry
