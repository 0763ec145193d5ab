#include "transport/http2_connection.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace boragestand::transport
{

namespace
{

constexpr std::size_t read_buffer_size = 64 * 1024;

// Limits the reads per iteration of the loop, so that a fast sender does not
// starve other descriptors.
constexpr int max_reads_per_turn = 8;

constexpr std::uint32_t stream_window = 1024 * 1024;
constexpr std::int32_t connection_window = 4 * 1024 * 1024;

bool is_retryable_error()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

http2_connection::http2_connection(main_loop& loop, unique_fd fd)
    : loop_(loop), fd_(std::move(fd))
{
}

http2_connection::~http2_connection()
{
    nghttp2_session_del(session_);
}

void http2_connection::start(nghttp2_session* session)
{
    session_ = session;
    watch(readiness::both);
}

void http2_connection::watch(readiness wanted)
{
    watched_conditions_ = wanted;
    watch_ = loop_.watch(fd_.value(), wanted,
                         [weak = weak_from_this()](readiness ready)
                         {
                             if (const auto self = weak.lock())
                             {
                                 self->handle_ready(ready);
                             }
                         });
}

void http2_connection::update_watch()
{
    const readiness wanted =
        unsent_.empty() ? readiness::readable : readiness::both;
    if (is_open() && wanted != watched_conditions_)
    {
        watch(wanted);
    }
}

bool http2_connection::finish_connect()
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.value(), SOL_SOCKET, SO_ERROR, &error, &size);
    connecting_ = false;
    return error == 0;
}

void http2_connection::handle_ready(readiness ready)
{
    if (!is_open())
    {
        return;
    }
    if (connecting_ && !finish_connect())
    {
        close();
        return;
    }
    const bool readable = static_cast<unsigned>(ready) &
                          static_cast<unsigned>(readiness::readable);
    const bool alive = !readable || receive();
    run_events();
    if (!alive)
    {
        close();
        return;
    }
    flush();
}

bool http2_connection::receive()
{
    std::array<std::uint8_t, read_buffer_size> buffer;
    for (int turn = 0; turn < max_reads_per_turn; ++turn)
    {
        const ssize_t count =
            ::recv(fd_.value(), buffer.data(), buffer.size(), 0);
        if (count <= 0)
        {
            return count < 0 && is_retryable_error();
        }
        received_bytes_ += static_cast<std::uint64_t>(count);
        in_nghttp2_ = true;
        const ssize_t used = nghttp2_session_mem_recv(
            session_, buffer.data(), static_cast<std::size_t>(count));
        in_nghttp2_ = false;
        if (used < 0)
        {
            return false;
        }
        if (static_cast<std::size_t>(count) < buffer.size())
        {
            return true;
        }
    }
    return true;
}

void http2_connection::queue_event(std::function<void()> event)
{
    events_.push_back(std::move(event));
}

void http2_connection::run_events()
{
    const auto self = shared_from_this();
    running_events_ = true;
    while (!events_.empty())
    {
        for (const auto& event : std::exchange(events_, {}))
        {
            event();
        }
    }
    running_events_ = false;
}

void http2_connection::flush()
{
    // While events run, the caller of run_events() flushes once afterwards.
    if (!is_open() || connecting_ || in_nghttp2_ || running_events_)
    {
        return;
    }
    if (!write_unsent() || !send_frames())
    {
        close_later();
        return;
    }
    const bool finished = !nghttp2_session_want_read(session_) &&
                          !nghttp2_session_want_write(session_);
    if (finished && unsent_.empty())
    {
        close_later();
        return;
    }
    update_watch();
    if (!events_.empty())
    {
        loop_.post(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->run_events();
                    self->flush();
                }
            });
    }
}

bool http2_connection::write_unsent()
{
    std::size_t done = 0;
    while (done < unsent_.size())
    {
        const ssize_t count = ::send(fd_.value(), unsent_.data() + done,
                                     unsent_.size() - done, MSG_NOSIGNAL);
        if (count < 0 && !is_retryable_error())
        {
            return false;
        }
        if (count <= 0)
        {
            break;
        }
        done += static_cast<std::size_t>(count);
    }
    unsent_.erase(0, done);
    return true;
}

bool http2_connection::send_frames()
{
    while (unsent_.empty())
    {
        // Small frames are combined into one write, so that they share a
        // segment.
        while (unsent_.size() < read_buffer_size)
        {
            const std::uint8_t* data = nullptr;
            in_nghttp2_ = true;
            const ssize_t size = nghttp2_session_mem_send(session_, &data);
            in_nghttp2_ = false;
            if (size < 0)
            {
                return false;
            }
            if (size == 0)
            {
                break;
            }
            unsent_.append(reinterpret_cast<const char*>(data),
                           static_cast<std::size_t>(size));
        }
        if (unsent_.empty())
        {
            return true;
        }
        if (!write_unsent())
        {
            return false;
        }
    }
    return true;
}

void http2_connection::close_later()
{
    loop_.post(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->close();
            }
        });
}

void http2_connection::close()
{
    if (!is_open())
    {
        return;
    }
    const auto self = shared_from_this();
    watch_.cancel();
    events_.clear();
    fd_ = unique_fd();
    on_closed();
}

nghttp2_nv header_field(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void submit_settings(nghttp2_session* session)
{
    const std::array<nghttp2_settings_entry, 3> entries{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                          connection_window);
}

} // namespace boragestand::transport
